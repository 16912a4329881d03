/**
How a run on a stand-in engine ended.
*/

/** `lost`: the engine died while the run was under way. */
export type RunFate = 'running' | 'stop' | 'length' | 'cancelled' | 'lost';
