/**
The final outcome of a request that never runs again under its id.
*/

/** `not-run`: it did not run; `outcome-unknown`: whether it ran cannot be established; `cancelled`: its caller cancelled it. */
export type ClosedFate = 'not-run' | 'outcome-unknown' | 'cancelled';
