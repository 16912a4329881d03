/**
The size of a proof's cluster.
*/

/** Counts of processes, and how the stand-ins behave. */
export type ClusterOptions = {
	readonly entries: number;
	readonly engines: number;
	readonly services: number;
	readonly slots?: number;
	readonly tokenDelayMs?: number;
	/** Text of an input that crashes any upstream. */
	readonly crashOn?: string;
};
