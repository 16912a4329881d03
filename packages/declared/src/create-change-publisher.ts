/**
Passes each read of the platform's service on to the processes that follow this
one, so that the calls to the service grow with the number of relays and not with
the number of processes.

Only own successful reads are passed on. A process that passed on what it heard
from others could keep a circle of processes believing that their state is up to
date while none of them reads the service.
*/
import type {DeclaredChanges} from './declared-changes.js';
import type {DeclaredView} from './declared-view.js';

type Follower = {
	readonly send: (changes: DeclaredChanges) => void;
	/** Revision up to which the follower has everything. */
	revision: number;
	expiresAt: number;
};

/** A follower that does not ask again within this time is dropped. */
const FOLLOWER_TTL_MS = 10_000;

/** `Key` identifies a follower, such as its link; `freshMs` is how long a read counts as up to date, and `readLapseGraceMs` returns for how long entries may still be missing after an outage. */
export const createChangePublisher = <Key>(view: DeclaredView, freshMs: number, readLapseGraceMs: () => number) => {
	const followers = new Map<Key, Follower>();
	let lastReadAt = -Infinity;

	const dropExpired = (): void => {
		for (const [key, {expiresAt}] of followers) {
			if (expiresAt <= performance.now()) {
				followers.delete(key);
			}
		}
	};

	const sendChanges = (follower: Follower, cache: Map<number, DeclaredChanges>): void => {
		const changes = cache.get(follower.revision) ?? {...view.changesSince(follower.revision), lapseGraceMs: readLapseGraceMs()};
		cache.set(follower.revision, changes);
		follower.revision = changes.revision;
		follower.send(changes);
	};

	return {
		/** Adds a follower or replaces the one with the same key. */
		follow(key: Key, revision: number, send: Follower['send']): void {
			const follower = {send, revision, expiresAt: performance.now() + FOLLOWER_TTL_MS};
			followers.set(key, follower);
			if (performance.now() - lastReadAt <= freshMs) {
				sendChanges(follower, new Map());
			}
		},
		remove(key: Key): void {
			followers.delete(key);
		},
		/** Must be called after each successful read of the platform's service, once it has been applied to the view. */
		publish(): void {
			lastReadAt = performance.now();
			dropExpired();
			const cache = new Map<number, DeclaredChanges>();
			for (const follower of followers.values()) {
				sendChanges(follower, cache);
			}
		},
		hasFollowers(): boolean {
			dropExpired();
			return followers.size > 0;
		},
	};
};
