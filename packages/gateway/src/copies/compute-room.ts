/**
Says how much of the limit for extra copies a service has room for.

Load: a service that is short of room as a whole, where calls wait at all upstreams;
a copy would take its place from another request there.
*/

/** Share of the latency objective that calls may wait on average before no copy is sent any more. */
const MAX_WAIT_SHARE = 0.5;

/** Returns 1 for all of the limit, falling to 0; `meanWaitMs` is how much longer than at their fastest calls wait at the service now. */
export const computeRoom = (meanWaitMs: number, objectiveMs: number): number => Math.max(0, 1 - (meanWaitMs / (objectiveMs * MAX_WAIT_SHARE)));
