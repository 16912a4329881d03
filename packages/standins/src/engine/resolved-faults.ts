/**
The current faults of an engine stand-in, with defaults applied.
*/

/** Mutable, because `PUT /faults` updates it in place. */
export type ResolvedFaults = {
	tokenDelayMs: number;
	crashOn: string;
	slowFactor: number;
	dropCacheEvents: number;
	lagMs: number;
	cutStreamAt: number;
};
