/**
The source of randomness that decisions take as an argument.
*/

/** Returns the next number, at least 0 and below 1. */
export type Random = () => number;
