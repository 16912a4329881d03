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
	/** What the cell holds now; absent if it is empty. */
	readonly value?: number;
	/** Who changed it; absent if that edit is older than the kept history. */
	readonly who?: string;
	/** The revision that changed it. */
	readonly revision: Revision;
};

/** The edit changed nothing. */
export type EditRefusal =
	// Cells or rows were changed after the revision that the editor saw.
	| {readonly kind: 'conflict'; readonly conflicts: readonly EditConflict[]}
	// The edit cannot be carried out at any revision like the present one.
	| {readonly kind: 'invalid'; readonly faults: readonly string[]}
	// The edit was given up before it took effect.
	| {readonly kind: 'abandoned'};
