/**
The size and speed of one upstream.
*/

/** For plain services, which have no tokens, all fields but `slots` are 0. */
export type UpstreamSpec = {
	readonly slots: number;
	/** Time to generate one output token. */
	readonly tokenMs: number;
	readonly prefillTokensPerMs: number;
	readonly importTokensPerMs: number;
	/** Size of the prefix memory. */
	readonly memoryTokens: number;
};
