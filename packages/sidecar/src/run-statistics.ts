/**
Interface of the statistics on the recent speed of an upstream.
*/
import type {RunOutcome} from './run-outcome.js';

/** Moving averages over recent runs, for admission and load reports. */
export type RunStatistics = {
	/** Adds an ended run. Only finished runs count. */
	readonly record: (servedMs: number, outcome: RunOutcome) => void;
	/** Adds the slot time that the program of an arriving call has used so far, in milliseconds. */
	readonly recordArrival: (attainedMs: number) => void;
	/** Estimated slot time of a whole program, in milliseconds. */
	readonly programMs: () => number;
	/** Mean time that a call occupies its slot, in milliseconds. */
	readonly callMs: () => number;
	/** Mean slot time per output token, in milliseconds. */
	readonly tokenMs: () => number;
};
