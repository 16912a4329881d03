/**
What one run of the bench is asked to do.
*/
import type {FaultName} from './fault-name.js';
import type {Workload} from './workload.js';

/** Options of a run, the policy apart. */
export type RunOptions = {
	readonly workload: Workload;
	readonly fault: FaultName;
	readonly seed: number;
	/** Offered work over what the model engines can do, as `measureCapacity` gives it. */
	readonly load: number;
	/** Length of the arrivals, in milliseconds of virtual time. */
	readonly windowMs: number;
};
