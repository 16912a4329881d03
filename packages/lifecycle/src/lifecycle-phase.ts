/**
Where a process is in its life.
*/

/** In this order; `ending` is the time in which the last log lines are written. */
export type LifecyclePhase = 'starting' | 'running' | 'stopping' | 'ending';
