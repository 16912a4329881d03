/**
Starts to follow the declared state, and tells how long removals of upstreams
are to be held back after an outage.
*/
import type {DeclarationSource} from '@siskinhub/declared/declaration-source.js';
import type {DeclarationStore} from '@siskinhub/declared/declaration-store.js';
import type {DeclaredView} from '@siskinhub/declared/declared-view.js';
import {followDeclarations} from '@siskinhub/declared/follow-declarations.js';
import type {Logger} from '@siskinhub/observe/logger.js';

/** A read is a priced call, and changes must be in force within two seconds. */
const READ_INTERVAL_MS = 600;

type FollowStoreOptions = {
	readonly view: DeclaredView;
	readonly store: DeclarationStore;
	readonly listNeighbours: () => readonly DeclarationSource[];
	readonly relistMs: number;
	readonly log: Logger;
	readonly signal: AbortSignal;
};

/** `graceUntil` is the time until which a removal may be a lapse that an outage caused, `lastReadAt` that of the last answer by the steady clock. */
export const followStore = ({view, store, listNeighbours, relistMs, log, signal}: FollowStoreOptions): {readonly graceUntil: () => number; readonly lastReadAt: () => number} => {
	let isReachable = true;
	let regainedAt = -Infinity;
	let lastReadAt = performance.now();
	void followDeclarations({
		view,
		service: {
			async readChanges(after) {
				const answer = await store.readChanges(after);
				lastReadAt = answer.isOk() ? performance.now() : lastReadAt;
				return answer;
			},
		},
		listNeighbours,
		intervalMs: READ_INTERVAL_MS,
		onReachable(next, reason) {
			if (next && !isReachable) {
				regainedAt = Date.now();
			}

			isReachable = next;
			log[next ? 'info' : 'warn'](next ? 'the platform\'s service answers' : 'the platform\'s service does not answer', {reason, revision: view.revision()});
		},
		signal,
	});
	return {graceUntil: () => isReachable ? regainedAt + relistMs : Date.now() + relistMs, lastReadAt: () => lastReadAt};
};
