/**
Recent speed of an upstream.
*/
import type {RunOutcome} from './run-outcome.js';

/** Moving means over recent runs, for load reports. */
export type RunStatistics = {
	readonly record: (servedMs: number, outcome: RunOutcome) => void;
	/** Mean time of a call in its slot, in milliseconds. */
	readonly callMs: () => number;
	/** Mean time between output tokens, in milliseconds. */
	readonly tokenMs: () => number;
};
