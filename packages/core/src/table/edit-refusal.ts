/**
Why an edit of the table was refused.
*/
import type {Revision} from '../ids/revision.js';
import type {CellName} from './cell-name.js';
import type {RowKey} from './row-key.js';

type EditConflict = {
	readonly row: RowKey;
	/** Absent if the row itself was added or removed. */
	readonly cell?: CellName;
	/** Current value of the cell; absent if it is empty. */
	readonly value?: number;
	/** The operator who changed it; absent if that edit is older than the kept history. */
	readonly who?: string;
	/** The revision that changed it, or the oldest one known if that edit is no longer kept. */
	readonly revision: Revision;
};

/** A refused edit has changed nothing. */
export type EditRefusal =
	// Cells or rows were changed after the revision that the editor saw.
	| {readonly kind: 'conflict'; readonly conflicts: readonly EditConflict[]}
	// The edit is malformed or does not fit the rows of the table.
	| {readonly kind: 'invalid'; readonly faults: readonly string[]}
	// The edit was abandoned before it took effect.
	| {readonly kind: 'abandoned'};
