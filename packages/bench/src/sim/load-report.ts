/**
What a sidecar reports of its upstream.
*/

/** Load at one moment. */
export type LoadReport = {
	readonly running: number;
	readonly queued: number;
	readonly queuedStarts: number;
	readonly usedTokens: number;
	readonly callMs: number;
	readonly tokenMs: number;
	/** When it was taken, in virtual milliseconds. */
	readonly takenAt: number;
};
