/**
The faults that a run can meet.
*/

/** A fault's name as the command takes it. */
export type FaultName = 'none' | 'upstream-dead' | 'upstream-slow' | 'data-centre-cut' | 'platform-down' | 'crashing-request' | 'burst' | 'flood';
