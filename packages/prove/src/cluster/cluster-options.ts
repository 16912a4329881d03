/**
The size of a proof's cluster.
*/

/** Numbers of processes, and settings of the stand-in upstreams. */
export type ClusterOptions = {
	readonly entries: number;
	readonly engines: number;
	readonly services: number;
	readonly slots?: number;
	readonly tokenDelayMs?: number;
	/** An input that contains this text crashes any upstream. */
	readonly crashOn?: string;
};
