/**
One edit of the operators' table.
*/
import type {Revision} from '../ids/revision.js';
import type {CellChange} from './cell-change.js';

/** A set of changes that is accepted or refused as a whole. */
export type TableEdit = {
	/** Chosen by the editor; tells whether an edit whose answer was lost took effect. */
	readonly editId: string;
	/** The operator who made the edit. */
	readonly who: string;
	/** Wall-clock time of the edit, in milliseconds since the Unix epoch. */
	readonly at: number;
	/** The table revision that the editor saw. */
	readonly against: Revision;
	readonly changes: readonly CellChange[];
};
