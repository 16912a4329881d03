/**
A declared service: a group of interchangeable upstreams.
*/

/** `engine` is set for services of model engines. */
export type Service = {
	readonly name: string;
	/** Connections that one upstream accepts from all callers together. */
	readonly maxConnections: number;
	readonly engine?: {
		readonly slots: number;
		/** Size of the prefix cache. */
		readonly memoryTokens: number;
		readonly tokensPerEvent: number;
	};
};
