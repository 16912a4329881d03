/**
Keeps links open that nobody sends on: whoever waits for the other side's
heartbeats makes no call that would dial it again after a break.
*/
import type {PeerPool} from './peer-pool.js';

/** Wait before a lost link is dialled again; a process that is restarted listens again within a second or two. */
const REDIAL_AFTER_MS = 250;

/** `pool` is asked late because a pool's handlers may need the keeper's owner. */
export const createLinkKeeper = (pool: () => PeerPool) => {
	const kept = new Set<string>();

	const keep = (address: string, isWanted: () => boolean): void => {
		if (kept.has(address) || !isWanted()) {
			return;
		}

		kept.add(address);
		pool().get(address).onClosed(() => {
			setTimeout(() => {
				kept.delete(address);
				keep(address, isWanted);
			}, REDIAL_AFTER_MS).unref();
		});
	};

	return {
		/** Dials the address now and after each break, until it is no longer wanted. */
		keep,
	};
};
