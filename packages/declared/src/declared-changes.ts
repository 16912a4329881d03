/**
What changed after some revision.
*/
import type {DeclaredEntry} from './declared-entry.js';

/** `revision` is the newest that the sender knows; `isWhole` means that keys not among `entries` do not exist. */
export type DeclaredChanges = {
	readonly entries: readonly DeclaredEntry[];
	readonly revision: number;
	readonly isWhole: boolean;
};
