/**
The faults of a stand-in engine with every default filled in.
*/

/** Mutable, because `PUT /faults` changes it in place. */
export type ResolvedFaults = {
	tokenDelayMs: number;
	crashOn: string;
	slowFactor: number;
	dropCacheEvents: number;
	lagMs: number;
	cutStreamAt: number;
};
