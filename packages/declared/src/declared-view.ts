/**
A process's copy of the declared state.
*/
import type {DeclaredChanges} from './declared-changes.js';
import type {DeclaredEntry} from './declared-entry.js';

/** Never goes back: of two entries of one key the higher revision stays, whatever order they come in. */
export type DeclaredView = {
	/** Takes changes in and tells the listeners of each key that became newer. */
	readonly apply: (changes: DeclaredChanges) => void;
	readonly get: (key: string) => DeclaredEntry | undefined;
	/** Every change after `revision` that is still known, deletions too. */
	readonly changesSince: (revision: number) => DeclaredChanges;
	/** The newest revision up to which nothing is missing; 0 before the first read. */
	readonly revision: () => number;
	readonly onChange: (listener: (entry: DeclaredEntry) => void) => void;
};
