/**
The faults that can be injected into a run.
*/

/** Name of a fault, as given on the command line. */
export type FaultName = 'none' | 'upstream-dead' | 'upstream-slow' | 'data-centre-cut' | 'platform-down' | 'crashing-request' | 'burst' | 'flood';
