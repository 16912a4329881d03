/**
Recent speed of an upstream.
*/
import type {RunOutcome} from './run-outcome.js';

/** Moving means over recent runs, for load reports. */
export type RunStatistics = {
	readonly record: (servedMs: number, outcome: RunOutcome) => void;
	/** Notes how much slot time the program of an arriving call has had. */
	readonly recordArrival: (attainedMs: number) => void;
	/** Estimated slot time of a whole program, in milliseconds. */
	readonly programMs: () => number;
	/** Mean time of a call in its slot, in milliseconds. */
	readonly callMs: () => number;
	/** Mean time between output tokens, in milliseconds. */
	readonly tokenMs: () => number;
};
