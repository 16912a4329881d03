/**
The size and speed of one upstream.
*/

/** An upstream; plain services have no memory and no token rates. */
export type UpstreamSpec = {
	readonly slots: number;
	readonly tokenMs: number;
	readonly prefillTokensPerMs: number;
	readonly importTokensPerMs: number;
	readonly memoryTokens: number;
};
