/**
The random number source that policies take as an argument.
*/

/** Returns the next number, from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;
