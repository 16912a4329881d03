/**
Percentiles of program latency.
*/

/** Milliseconds from a program's arrival to its final answer. */
export type LatencyPercentiles = {
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
};
