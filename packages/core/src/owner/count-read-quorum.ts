/**
Computes how many history holders a new owner must read before it serves a program.
*/
import {countWriteQuorum} from './count-write-quorum.js';

/** Returns the smallest number of holders that shares a member with every write quorum. */
export const countReadQuorum = (holders: number): number => holders === 0 ? 0 : holders - countWriteQuorum(holders) + 1;
