/**
The continuous batch of a stand-in engine.
*/
import type {Run} from './run.js';

/** The running and the waiting requests of one engine. */
export type Batch = {
	readonly add: (run: Run) => void;
	/** Takes the run out, whether it runs or waits. */
	readonly remove: (run: Run) => void;
	readonly running: () => number;
	readonly queued: () => number;
	readonly has: (group: string) => boolean;
	readonly stop: () => void;
};
