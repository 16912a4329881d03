/**
A crash: a request that broke off at an upstream.
*/

/** The upstream had begun to run the request. */
export type Crash = {
	/** Identifies a caller's request; the same for all of its attempts. */
	readonly fingerprint: string;
	/** Identifies one start of one upstream: a restarted upstream counts as another. */
	readonly upstream: string;
	readonly ageMs: number;
};
