/**
Merges the declared state from whichever source delivers it: the platform's
service or a neighbour that reached it. Entries carry their revision, so the
order of arrival does not matter and nothing ever reverts.
*/
import type {DeclaredChanges} from './declared-changes.js';
import type {DeclaredEntry} from './declared-entry.js';
import type {DeclaredView} from './declared-view.js';

/** Deletions older than this many revisions are forgotten; a reader that lags further reads the whole state. */
const KEPT_DELETION_REVISIONS = 5000;

/** Creates an empty view. */
export const createDeclaredView = (): DeclaredView => {
	const entries = new Map<string, DeclaredEntry>();
	const listeners: Array<(entry: DeclaredEntry) => void> = [];
	let known = 0;
	let deletionsKnownSince = 0;

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

	/** A whole list proves that every other key was gone at its revision. */
	const deleteMissing = ({entries: listed, revision}: DeclaredChanges): void => {
		const present = new Set(listed.map(entry => entry.key));
		for (const entry of entries.values()) {
			if (!present.has(entry.key) && entry.value !== undefined && entry.revision <= revision) {
				applyEntry({key: entry.key, revision});
			}
		}
	};

	const forgetOldDeletions = (): void => {
		const oldest = known - KEPT_DELETION_REVISIONS;
		if (oldest <= deletionsKnownSince + KEPT_DELETION_REVISIONS) {
			return;
		}

		for (const entry of entries.values()) {
			if (entry.value === undefined && entry.revision < oldest) {
				entries.delete(entry.key);
			}
		}

		deletionsKnownSince = oldest;
	};

	return {
		apply(changes) {
			if (changes.isWhole && changes.revision >= known) {
				deleteMissing(changes);
			}

			for (const entry of changes.entries) {
				applyEntry(entry);
			}

			known = Math.max(known, changes.revision);
			forgetOldDeletions();
		},
		get: key => entries.get(key),
		changesSince(revision) {
			const isWhole = revision < deletionsKnownSince || revision === 0;
			return {
				entries: [...entries.values()].filter(entry => isWhole ? entry.value !== undefined : entry.revision > revision),
				revision: known,
				isWhole,
			};
		},
		revision: () => known,
		onChange(listener) {
			listeners.push(listener);
		},
	};
};
