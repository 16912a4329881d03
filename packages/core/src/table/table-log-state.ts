/**
What the table's log folds to: the table and its recent edits.
*/
import type {AcceptedEdit} from './accepted-edit.js';
import type {TableState} from './table-state.js';

/** The table with enough of its past to judge edits made against older revisions. */
export type TableLogState = {
	readonly table: TableState;
	/** The latest edits, oldest first, without gaps up to the table's revision. */
	readonly edits: readonly AcceptedEdit[];
	/** Ids of edits that were given up and must never take effect, oldest first. */
	readonly abandoned: readonly string[];
};
