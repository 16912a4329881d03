/**
An edit that is part of the operators' table.
*/
import type {Revision} from '../ids/revision.js';
import type {TableEdit} from './table-edit.js';

/** The edit and the revision that it made. */
export type AcceptedEdit = TableEdit & {readonly revision: Revision};
