/**
Keeps a process's copy of the declared state up to date.

Calls to the platform's service are counted, so changes are polled at a fixed
interval instead of as they happen. A process that gets no answer from the service
reads the copies of its neighbours (other processes of the system) instead; copies
are merged by revision.
*/
import {waitUnlessAborted} from '@siskinhub/core/time/wait-unless-aborted.js';
import type {DeclarationSource} from './declaration-source.js';
import type {DeclaredChanges} from './declared-changes.js';
import type {DeclaredView} from './declared-view.js';

type FollowOptions = {
	readonly view: DeclaredView;
	/** The platform's service. */
	readonly service: DeclarationSource;
	/** Returns the neighbours that can be asked now, in the order of preference. */
	readonly listNeighbours: () => readonly DeclarationSource[];
	/** Milliseconds between two reads of the service. */
	readonly intervalMs: number;
	/** Called after the first read, and whenever the service stops or resumes answering. */
	readonly onReachable: (isReachable: boolean, reason: string) => void;
	readonly signal: AbortSignal;
};

/** How many neighbours are asked in one round while the service does not answer. */
const NEIGHBOURS_PER_ROUND = 2;

const readFromNeighbours = async ({view, listNeighbours}: FollowOptions): Promise<void> => {
	const asked = listNeighbours().slice(0, NEIGHBOURS_PER_ROUND);
	const answers = await Promise.all(asked.map(async neighbour => neighbour.readChanges(view.revision())));
	for (const answer of answers) {
		if (answer.isOk()) {
			view.apply(answer.value);
		}
	}
};

const readService = async ({view, service}: FollowOptions): Promise<{readonly changes?: DeclaredChanges; readonly reason: string}> => {
	const answer = await service.readChanges(view.revision());
	if (answer.isOk()) {
		return {changes: answer.value, reason: ''};
	}

	if (answer.error.kind === 'unavailable') {
		return {reason: answer.error.message};
	}

	const whole = await service.readChanges(0);
	return whole.isOk() ? {changes: whole.value, reason: ''} : {reason: whole.error.message};
};

/** Polls until the signal aborts. */
export const followDeclarations = async (options: FollowOptions): Promise<void> => {
	const {view, intervalMs, onReachable, signal} = options;
	let isReachable: boolean | undefined;
	const reportReachability = (next: boolean, reason: string): void => {
		if (isReachable !== next) {
			isReachable = next;
			onReachable(next, reason);
		}
	};

	while (!signal.aborted) {
		// While the service does not answer, ask the neighbours without waiting for its timeout.
		const pendingNeighbours = isReachable === false ? readFromNeighbours(options) : undefined;
		const {changes, reason} = await readService(options);
		if (changes) {
			reportReachability(true, reason);
			view.apply(changes);
		} else {
			reportReachability(false, reason);
			await pendingNeighbours;
			await readFromNeighbours(options);
		}

		await waitUnlessAborted(intervalMs, signal);
	}
};
