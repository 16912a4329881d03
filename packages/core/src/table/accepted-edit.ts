/**
An edit that was accepted into the operators' table.
*/
import type {Revision} from '../ids/revision.js';
import type {TableEdit} from './table-edit.js';

/** The edit and the table revision that it created. */
export type AcceptedEdit = TableEdit & {readonly revision: Revision};
