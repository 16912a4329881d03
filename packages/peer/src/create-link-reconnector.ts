/**
Dials lost links again. This is for links on which a process only waits for the
other side's heartbeats: it makes no call that would dial the link again.
*/
import type {PeerPool} from './peer-pool.js';

/** Delay before a lost link is dialled again; a restarted process listens again within one or two seconds. */
const REDIAL_DELAY_MS = 250;

/** Creates a reconnector for the links of a pool. `getPool` is called only when a link is dialled, because the handlers of the pool may need the object that owns the reconnector. */
export const createLinkReconnector = (getPool: () => PeerPool) => {
	const keptAddresses = new Set<string>();

	const keep = (address: string, isWanted: () => boolean): void => {
		if (keptAddresses.has(address) || !isWanted()) {
			return;
		}

		keptAddresses.add(address);
		getPool().get(address).onClosed(() => {
			setTimeout(() => {
				keptAddresses.delete(address);
				keep(address, isWanted);
			}, REDIAL_DELAY_MS).unref();
		});
	};

	return {
		/** Dials the address now, and again each time the link closes, while `isWanted` returns true. */
		keep,
	};
};
