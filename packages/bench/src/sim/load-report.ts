/**
The load of one upstream, as its sidecar reports it to the hub.
*/

export type LoadReport = {
	readonly running: number;
	readonly queued: number;
	/** Queued calls that start a program. */
	readonly queuedStarts: number;
	/** Prefix memory in use. */
	readonly usedTokens: number;
	/** Estimated slot time of a call. */
	readonly callMs: number;
	/** Estimated time to generate one output token. */
	readonly tokenMs: number;
	/** Virtual time at which the report was taken, in milliseconds. */
	readonly takenAt: number;
};
