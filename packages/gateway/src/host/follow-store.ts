/**
Starts to follow the declared state, and determines until when removals of
upstreams are deferred. During an outage of the platform's service, entries of
upstreams lapse because they cannot be renewed; they return soon after it.
*/
import type {DeclarationSource} from '@siskinhub/declared/declaration-source.js';
import type {DeclarationStore} from '@siskinhub/declared/declaration-store.js';
import type {DeclaredView} from '@siskinhub/declared/declared-view.js';
import {followDeclarations} from '@siskinhub/declared/follow-declarations.js';
import type {Logger} from '@siskinhub/observe/logger.js';

/** Every read is a billed call, but changes must be in force within two seconds. */
const READ_INTERVAL_MS = 600;

type FollowStoreOptions = {
	readonly view: DeclaredView;
	readonly store: DeclarationStore;
	readonly listNeighbours: () => readonly DeclarationSource[];
	/** See `HostConfig`. */
	readonly relistMs: number;
	readonly log: Logger;
	readonly signal: AbortSignal;
};

/** `graceUntil` returns the time, by `Date.now()`, until which a removal may be an entry that lapsed in an outage; `lastReadAt` returns the time of the last answer, by `performance.now()`. */
export const followStore = ({view, store, listNeighbours, relistMs, log, signal}: FollowStoreOptions): {readonly graceUntil: () => number; readonly lastReadAt: () => number} => {
	let isReachable = true;
	let recoveredAt = -Infinity;
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
				recoveredAt = Date.now();
			}

			isReachable = next;
			log[next ? 'info' : 'warn'](next ? 'platform service available' : 'platform service unavailable', {reason, revision: view.revision()});
		},
		signal,
	});
	return {graceUntil: () => isReachable ? recoveredAt + relistMs : Date.now() + relistMs, lastReadAt: () => lastReadAt};
};
