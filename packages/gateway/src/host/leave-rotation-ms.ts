/**
How long the balancer may go on sending callers to a process that reports that
it is not ready.
*/

/** The balancer checks once a second and takes a process out after two failed checks. */
export const LEAVE_ROTATION_MS = 2300;
