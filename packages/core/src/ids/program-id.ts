/**
Identifies one run of an agent program.
*/
import type {Brand} from '../brand.js';

/** A program's id; it contains the number of the shard that owns the program. */
export type ProgramId = Brand<string, 'ProgramId'>;
