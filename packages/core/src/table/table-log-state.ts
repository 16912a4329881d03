/**
The state that results from the table's log: the table and its recent edits.
*/
import type {AcceptedEdit} from './accepted-edit.js';
import type {TableState} from './table-state.js';

/** The table with enough history to check edits made against older revisions for conflicts. */
export type TableLogState = {
	readonly table: TableState;
	/** The latest edits, oldest first, without gaps up to the table's revision. */
	readonly edits: readonly AcceptedEdit[];
	/** Ids of abandoned edits, which must never take effect, oldest first. */
	readonly abandoned: readonly string[];
};
