/**
Reads the recent edits of the table.
*/
import type {Revision} from '../ids/revision.js';
import type {AcceptedEdit} from './accepted-edit.js';
import type {TableLogState} from './table-log-state.js';

/** Returns the edits after `revision`, oldest first, or `undefined` if the kept history does not reach back to it. */
export const listEditsSince = ({table, edits}: TableLogState, revision: Revision): readonly AcceptedEdit[] | undefined =>
	revision >= table.revision - edits.length ? edits.filter(edit => edit.revision > revision) : undefined;
