/**
How many history holders must answer before a new owner may go on.
*/
import {countWriteQuorum} from './count-write-quorum.js';

/** The least number of holders that has one in common with every set of holders a turn was written to. */
export const countReadQuorum = (holders: number): number => holders === 0 ? 0 : holders - countWriteQuorum(holders) + 1;
