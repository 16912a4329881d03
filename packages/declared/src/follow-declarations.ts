/**
Keeps a process's copy of the declared state up to date.

Calls to the platform's service are counted, so changes are fetched at a fixed
interval and not as each one happens. A host that the service turns away asks
its neighbours instead: their copies merge by revision.
*/
import {waitUnlessAborted} from '@siskinhub/core/time/wait-unless-aborted.js';
import type {DeclarationSource} from './declaration-source.js';
import type {DeclaredChanges} from './declared-changes.js';
import type {DeclaredView} from './declared-view.js';

type FollowOptions = {
	readonly view: DeclaredView;
	/** The platform's service. */
	readonly service: DeclarationSource;
	/** The neighbours that can be asked now, nearest first. */
	readonly listNeighbours: () => readonly DeclarationSource[];
	/** Milliseconds between two reads of the service. */
	readonly intervalMs: number;
	/** Called when the service is lost and when it answers again. */
	readonly onReachable: (isReachable: boolean, reason: string) => void;
	readonly signal: AbortSignal;
};

/** Neighbours asked in one round when the service does not answer. */
const NEIGHBOURS_PER_ROUND = 2;

const askNeighbours = async ({view, listNeighbours}: FollowOptions): Promise<void> => {
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

/** Reads until the signal aborts. */
export const followDeclarations = async (options: FollowOptions): Promise<void> => {
	const {view, intervalMs, onReachable, signal} = options;
	let isReachable: boolean | undefined;
	const tell = (next: boolean, reason: string): void => {
		if (isReachable !== next) {
			isReachable = next;
			onReachable(next, reason);
		}
	};

	while (!signal.aborted) {
		// While the service is silent, neighbours are asked without waiting for its time-out.
		const asking = isReachable === false ? askNeighbours(options) : undefined;
		const {changes, reason} = await readService(options);
		if (changes) {
			tell(true, reason);
			view.apply(changes);
		} else {
			tell(false, reason);
			await asking;
			await askNeighbours(options);
		}

		await waitUnlessAborted(intervalMs, signal);
	}
};
