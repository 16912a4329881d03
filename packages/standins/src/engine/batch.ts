/**
The continuous batch of an engine stand-in.
*/
import type {EngineRun} from './engine-run.js';

/** The running and the queued runs of one engine. */
export type Batch = {
	/** Queues a run, which starts as soon as a slot is free. */
	readonly add: (run: EngineRun) => void;
	/** Removes a running or queued run. */
	readonly remove: (run: EngineRun) => void;
	/** Number of running runs. */
	readonly running: () => number;
	/** Number of queued runs. */
	readonly queued: () => number;
	/** Whether a running or queued run belongs to the cache group. */
	readonly has: (group: string) => boolean;
	/** Drops all runs without ending them. */
	readonly stop: () => void;
};
