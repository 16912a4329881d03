/**
Numbers the revisions of the operators' table.
*/
import type {Brand} from '../brand.js';

/** The number of the last edit that a copy of the table contains; 0 is the empty table. */
export type Revision = Brand<number, 'Revision'>;
