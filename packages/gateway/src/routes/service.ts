/**
A declared service: a group of interchangeable upstreams.
*/

/** Model engines have `engine`. */
export type Service = {
	readonly name: string;
	/** Connections that one upstream accepts from all callers. */
	readonly maxConnections: number;
	readonly engine?: {
		readonly slots: number;
		readonly memoryTokens: number;
		readonly tokensPerEvent: number;
	};
};
