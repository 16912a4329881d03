/**
A request that broke off at an upstream.
*/

/** One request that broke off at one upstream, which had begun to run it. */
export type Crash = {
	/** The same for all attempts of one request of a caller. */
	readonly fingerprint: string;
	/** One start of one upstream. */
	readonly upstream: string;
	readonly ageMs: number;
};
