/**
What is known about an attempt that did not answer.
*/

/** A failed attempt. */
export type RetryView = {
	/** Attempts made, the failed one included. */
	readonly attempts: number;
	/** `not-run` if the upstream's sidecar vouches that nothing ran. */
	readonly fate: 'not-run' | 'failed' | 'unknown';
	readonly idempotent: boolean;
	/** Time left until the caller's deadline, in milliseconds. */
	readonly deadlineMs: number;
	/** The wait that the refusal asked for, if any. */
	readonly retryAfterMs?: number;
};
