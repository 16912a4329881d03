/**
Numbers the states of the operators' table.
*/
import type {Brand} from '../brand.js';

/** The index of the last edit that a copy of the table contains; 0 is the empty table. */
export type Revision = Brand<number, 'Revision'>;
