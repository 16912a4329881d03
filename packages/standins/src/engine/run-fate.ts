/**
The state of a run of an engine stand-in.
*/

/** `stop`: the answer is complete; `length`: `max_tokens` cut it; `lost`: the engine's process ended during the run. */
export type RunFate = 'running' | 'stop' | 'length' | 'cancelled' | 'lost';
