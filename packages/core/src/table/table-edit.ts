/**
One edit of the operators' table.
*/
import type {Revision} from '../ids/revision.js';
import type {CellChange} from './cell-change.js';

/** Changes that are accepted or refused together. */
export type TableEdit = {
	/** Chosen by the editor; decides whether an edit whose answer was lost took effect. */
	readonly editId: string;
	readonly who: string;
	/** Wall-clock time of the edit, in milliseconds since the Unix epoch. */
	readonly at: number;
	/** The revision the editor saw. */
	readonly against: Revision;
	readonly changes: readonly CellChange[];
};
