/**
A process's copy of the declared state.
*/
import type {DeclaredChanges} from './declared-changes.js';
import type {DeclaredEntry} from './declared-entry.js';

/** Of two entries of one key the higher revision wins, in whatever order they arrive. */
export type DeclaredView = {
	/** Merges changes and notifies the listeners of each key whose value changed. */
	readonly apply: (changes: DeclaredChanges) => void;
	readonly get: (key: string) => DeclaredEntry | undefined;
	/** Returns the changes after `revision`, including deletions; the whole state if `revision` is 0 or tombstones since then were pruned. */
	readonly changesSince: (revision: number) => DeclaredChanges;
	/** Returns the newest revision up to which no change is missing; 0 before the first read. */
	readonly revision: () => number;
	readonly onChange: (listener: (entry: DeclaredEntry) => void) => void;
};
