/**
The table before its first edit.
*/
import type {Revision} from '../ids/revision.js';
import type {TableLogState} from './table-log-state.js';

/** No rows, revision 0. */
export const emptyTable: TableLogState = {
	table: {revision: 0 as Revision, rows: {}},
	edits: [],
	abandoned: [],
};
