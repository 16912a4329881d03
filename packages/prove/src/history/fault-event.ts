/**
An event of the timeline: a fault began, ended or had no effect.
*/

/** Recorded when it happened. */
export type FaultEvent = {
	/** Milliseconds since the Unix epoch. */
	readonly at: number;
	readonly kind: string;
	/** Name of the process, connection or service that the fault was applied to. */
	readonly target: string;
	readonly detail?: string;
};
