/**
A fault as it was applied.
*/

/** Written down when it happened, for the timeline. */
export type FaultEvent = {
	/** Milliseconds since the Unix epoch. */
	readonly at: number;
	readonly kind: string;
	/** Name of the process. */
	readonly target: string;
	readonly detail?: string;
};
