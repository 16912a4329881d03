/**
How many history holders must have a turn on disk before its caller is told.
*/

/** A majority; both of two. */
export const countWriteQuorum = (holders: number): number => Math.floor(holders / 2) + 1;
