/**
What a process knows of its lease.
*/

/** A lease decides only who may try; safety never rests on it. */
export type LeaseState =
	// Renewed by a call that began less than its time to live ago.
	| {readonly kind: 'held'; readonly lease: string}
	// It may have lapsed: the platform's service does not answer, or the process was paused.
	| {readonly kind: 'uncertain'; readonly lease: string}
	// No lease; its keys are gone. A new one is being asked for.
	| {readonly kind: 'none'};
