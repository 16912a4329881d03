/**
Tracks, by fingerprint, the requests that were running when an upstream crashed.
*/

export type SuspectTracker = {
	/** Returns how a request with this fingerprint may run. */
	readonly classify: (fingerprint: string) => 'normal' | 'alone' | 'quarantine';
	readonly noteCrash: (fingerprint: string, wasAlone: boolean) => void;
	/** Clears a request that ran to its end, unless it crashed an upstream on which it ran alone. */
	readonly noteSuccess: (fingerprint: string) => void;
	/** Merges the count that another owner announced. */
	readonly merge: (fingerprint: string, crashesAlone: number) => void;
};
