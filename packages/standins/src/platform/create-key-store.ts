/**
In-memory key store of the platform stand-in: compare-and-swap of single keys,
range reads and change notifications. Keys are compared as strings; the real
service compares bytes, which gives the same order for ASCII keys.
*/
import type {StoredKey} from './stored-key.js';

type KeyRange = {
	readonly key: string;
	/** Exclusive end; absent for a single key. */
	readonly rangeEnd?: string;
};

type KeyStore = {
	/** Number of writes and deletions so far. */
	readonly revision: () => number;
	/** Existing keys of the range, sorted. */
	readonly read: (range: KeyRange) => readonly StoredKey[];
	/** Keys of the range whose last change has the number `revision` or a higher one, deleted keys included. */
	readonly readChanged: (range: KeyRange, revision: number) => readonly StoredKey[];
	/** Writes the value if the key's version is `expectedVersion` (0: the key does not exist) and returns whether it did. */
	readonly compareAndSwap: (request: {
		readonly key: string;
		readonly value: string;
		readonly expectedVersion: number;
		readonly lease?: string;
	}) => boolean;
	/** Deletes every key that was last written under the lease. */
	readonly deleteByLease: (lease: string) => void;
	/** Calls `listener` after each change; returns a function that unsubscribes it. */
	readonly subscribe: (listener: (changed: StoredKey) => void) => () => void;
};

/** Creates an empty store. */
export const createKeyStore = (): KeyStore => {
	const keys = new Map<string, StoredKey>();
	const listeners = new Set<(changed: StoredKey) => void>();
	let revision = 0;

	const isInRange = ({key, rangeEnd}: KeyRange, candidate: string) => rangeEnd === undefined
		? candidate === key
		: candidate >= key && candidate < rangeEnd;

	const select = (range: KeyRange, accepts: (stored: StoredKey) => boolean) => [...keys.values()]
		.filter(stored => isInRange(range, stored.key) && accepts(stored))
		.toSorted((a, b) => a.key < b.key ? -1 : 1);

	const write = (change: Omit<StoredKey, 'modRevision'>) => {
		revision++;
		const stored = {...change, modRevision: revision};
		keys.set(stored.key, stored);
		for (const listener of listeners) {
			listener(stored);
		}
	};

	return {
		revision: () => revision,
		read: range => select(range, stored => stored.value !== undefined),
		readChanged: (range, since) => select(range, stored => stored.modRevision >= since),
		compareAndSwap({key, value, expectedVersion, lease}) {
			const current = keys.get(key);
			const currentVersion = current?.value === undefined ? 0 : current.version;
			if (currentVersion !== expectedVersion) {
				return false;
			}

			write({
				key, value, version: (current?.version ?? 0) + 1, ...(lease !== undefined && {lease}),
			});
			return true;
		},
		deleteByLease(lease) {
			for (const stored of keys.values()) {
				if (stored.lease === lease && stored.value !== undefined) {
					write({key: stored.key, version: stored.version});
				}
			}
		},
		subscribe(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};
};
