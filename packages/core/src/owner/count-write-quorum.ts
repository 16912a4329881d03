/**
Computes how many history holders must have a turn on disk before it is acknowledged to the caller.
*/

/** Returns the majority of `holders`. */
export const countWriteQuorum = (holders: number): number => Math.floor(holders / 2) + 1;
