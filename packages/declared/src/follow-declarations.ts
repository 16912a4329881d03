/**
Keeps a process's copy of the declared state up to date.

Calls to the platform's service are counted, so changes are polled at a fixed
interval instead of as they happen, and only by some processes: the others follow
one of those, the relay. A process whose relay is gone, frozen, cut off or behind
reads the service itself. One that gets no answer from the service reads the
copies of its neighbours (other processes of the system); copies are merged by
revision.
*/
import {waitUnlessAborted} from '@siskinhub/core/time/wait-unless-aborted.js';
import type {DeclarationRelay} from './declaration-relay.js';
import type {DeclarationSource} from './declaration-source.js';
import type {DeclaredChanges} from './declared-changes.js';
import type {DeclaredView} from './declared-view.js';
import {followRelay} from './follow-relay.js';

type FollowOptions = {
	readonly view: DeclaredView;
	/** The platform's service. */
	readonly service: DeclarationSource;
	/** Returns the neighbours that can be asked now, in the order of preference. */
	readonly listNeighbours: () => readonly DeclarationSource[];
	/** Returns the relay to follow, none of `failed` (ids of relays that failed recently); `undefined` if this process is to read the service itself. */
	readonly chooseRelay: (failed: ReadonlySet<string>) => DeclarationRelay | undefined;
	/** Milliseconds between two reads of the service. */
	readonly intervalMs: number;
	/** A relay counts as failed once it has passed on no read for so many milliseconds. */
	readonly relaySilenceMs: number;
	/** Called after each successful own read of the service. */
	readonly onOwnRead: () => void;
	/** Called before the changes that a relay or the service told are applied, and after `onReachable`. */
	readonly onNews: (changes: DeclaredChanges) => void;
	/** Called with what a neighbour told, before it is applied. */
	readonly onNeighbourNews: (changes: DeclaredChanges) => void;
	/** Called after the first read, and whenever the service stops or resumes answering. */
	readonly onReachable: (isReachable: boolean, reason: string) => void;
	readonly signal: AbortSignal;
};

/** A relay that failed is not chosen again before this time. */
const RELAY_RETRY_MS = 5000;
/** How many neighbours are asked in one round while the service does not answer. */
const NEIGHBOURS_PER_ROUND = 2;

const readFromNeighbours = async ({view, listNeighbours, onNeighbourNews}: FollowOptions): Promise<void> => {
	const asked = listNeighbours().slice(0, NEIGHBOURS_PER_ROUND);
	const answers = await Promise.all(asked.map(async neighbour => neighbour.readChanges(view.revision())));
	for (const answer of answers) {
		if (answer.isOk()) {
			onNeighbourNews(answer.value);
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

/** Remembers which relays failed recently. */
const createFailedRelays = () => {
	const failedAt = new Map<string, number>();
	return {
		add(id: string): void {
			failedAt.set(id, performance.now());
		},
		list(): ReadonlySet<string> {
			for (const [id, at] of failedAt) {
				if (performance.now() - at >= RELAY_RETRY_MS) {
					failedAt.delete(id);
				}
			}

			return new Set(failedAt.keys());
		},
	};
};

/** Runs until the signal aborts. */
export const followDeclarations = async (options: FollowOptions): Promise<void> => {
	const {view, chooseRelay, intervalMs, relaySilenceMs, onReachable, onOwnRead, onNews, signal} = options;
	const failedRelays = createFailedRelays();
	let isReachable: boolean | undefined;
	const reportReachability = (next: boolean, reason: string): void => {
		if (isReachable !== next) {
			isReachable = next;
			onReachable(next, reason);
		}
	};

	const takeOver = (changes: DeclaredChanges): void => {
		reportReachability(true, '');
		onNews(changes);
		view.apply(changes);
	};

	const readOnce = async (): Promise<void> => {
		// While the service does not answer, ask the neighbours without waiting for its timeout.
		const pendingNeighbours = isReachable === false ? readFromNeighbours(options) : undefined;
		const {changes, reason} = await readService(options);
		if (changes) {
			takeOver(changes);
			onOwnRead();
		} else {
			reportReachability(false, reason);
			await pendingNeighbours;
			await readFromNeighbours(options);
		}
	};

	const followChosen = async (relay: DeclarationRelay): Promise<'failed' | 'ended'> => followRelay({
		relay,
		readRevision: view.revision,
		onRead: takeOver,
		isWanted: () => chooseRelay(failedRelays.list())?.id === relay.id,
		silenceMs: relaySilenceMs,
		signal,
	});

	while (!signal.aborted) {
		const relay = view.revision() > 0 ? chooseRelay(failedRelays.list()) : undefined;
		if (relay) {
			if (await followChosen(relay) === 'ended') {
				continue;
			}

			failedRelays.add(relay.id);
		}

		await readOnce();
		await waitUnlessAborted(intervalMs, signal);
	}
};
