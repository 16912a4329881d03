/**
The initial state of the table's log.
*/
import type {Revision} from '../ids/revision.js';
import type {TableLogState} from './table-log-state.js';

/** A table without rows at revision 0. */
export const EMPTY_TABLE_LOG_STATE: TableLogState = {
	table: {revision: 0 as Revision, rows: {}},
	edits: [],
	abandoned: [],
};
