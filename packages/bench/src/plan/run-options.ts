/**
The options of one run of the bench, apart from the policy.
*/
import type {FaultName} from './fault-name.js';
import type {Workload} from './workload.js';

export type RunOptions = {
	readonly workload: Workload;
	readonly fault: FaultName;
	readonly seed: number;
	/** Offered work relative to what the model engines can do, as `estimateCapacity` gives it. */
	readonly load: number;
	/** Period in which programs arrive, in virtual milliseconds. */
	readonly windowMs: number;
};
