/**
Percentiles of program latency.
*/

/** In milliseconds, from a program's arrival to its final answer. */
export type Latency = {
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
};
