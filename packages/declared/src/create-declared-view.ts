/**
Merges the declared state from all sources: the platform's service, and neighbours
(other processes of the system) that could read it. Every entry carries its
revision, so the order of arrival does not matter and no key goes back to an older
value.
*/
import type {DeclaredChanges} from './declared-changes.js';
import type {DeclaredEntry} from './declared-entry.js';
import type {DeclaredView} from './declared-view.js';

/** Tombstones of deleted keys are kept for at least this many revisions; a reader that is further behind gets the whole state. */
const TOMBSTONE_RETENTION_REVISIONS = 5000;

/** Creates an empty view. */
export const createDeclaredView = (): DeclaredView => {
	const entries = new Map<string, DeclaredEntry>();
	const listeners: Array<(entry: DeclaredEntry) => void> = [];
	let knownRevision = 0;
	let tombstonesKnownSince = 0;

	const applyEntry = (entry: DeclaredEntry): void => {
		const held = entries.get(entry.key);
		if (held && held.revision >= entry.revision) {
			return;
		}

		entries.set(entry.key, entry);
		if (held?.value === entry.value) {
			return;
		}

		for (const listener of listeners) {
			listener(entry);
		}
	};

	/** The whole state proves that every key it lacks was deleted by its revision; keys that changed later are left. */
	const deleteMissing = ({entries: listed, revision}: DeclaredChanges): void => {
		const present = new Set(listed.map(entry => entry.key));
		for (const entry of entries.values()) {
			if (!present.has(entry.key) && entry.value !== undefined && entry.revision <= revision) {
				applyEntry({key: entry.key, revision});
			}
		}
	};

	const pruneTombstones = (): void => {
		const oldest = knownRevision - TOMBSTONE_RETENTION_REVISIONS;
		if (oldest <= tombstonesKnownSince + TOMBSTONE_RETENTION_REVISIONS) {
			return;
		}

		for (const entry of entries.values()) {
			if (entry.value === undefined && entry.revision < oldest) {
				entries.delete(entry.key);
			}
		}

		tombstonesKnownSince = oldest;
	};

	return {
		apply(changes) {
			if (changes.isWhole && changes.revision >= knownRevision) {
				deleteMissing(changes);
			}

			for (const entry of changes.entries) {
				applyEntry(entry);
			}

			knownRevision = Math.max(knownRevision, changes.revision);
			pruneTombstones();
		},
		get: key => entries.get(key),
		changesSince(revision) {
			const isWhole = revision < tombstonesKnownSince || revision === 0;
			return {
				entries: [...entries.values()].filter(entry => isWhole ? entry.value !== undefined : entry.revision > revision),
				revision: knownRevision,
				isWhole,
			};
		},
		revision: () => knownRevision,
		onChange(listener) {
			listeners.push(listener);
		},
	};
};
