/**
A request that had broken off and that an upstream has answered whole since.
*/

/** Crashes of the request before that do not count. */
export type AnsweredRequest = {
	readonly fingerprint: string;
	/** Milliseconds since the answer was whole. */
	readonly ageMs: number;
};
