/**
How a request ended that will never run again.
*/

/** `not-run`: it did not run; `outcome-unknown`: nobody can say. */
export type ClosedFate = 'not-run' | 'outcome-unknown' | 'cancelled';
