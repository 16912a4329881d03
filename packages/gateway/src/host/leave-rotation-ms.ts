/**
How long the balancer goes on sending callers to a process that wants none.
*/

/** The balancer asks once a second and takes a process out after two misses. */
export const LEAVE_ROTATION_MS = 2300;
