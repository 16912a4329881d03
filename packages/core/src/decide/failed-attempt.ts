/**
The input of retry policies: a call whose last attempt failed.
*/

/** What is known when an attempt ended without an answer. */
export type FailedAttempt = {
	/** Attempts made so far, including the failed one. */
	readonly attempts: number;
	/** `not-run` only if the upstream's sidecar confirmed that nothing ran. */
	readonly fate: 'not-run' | 'failed' | 'unknown';
	readonly idempotent: boolean;
	/** Time left until the caller's deadline, in milliseconds. */
	readonly deadlineMs: number;
	/** The delay that the refusal asked for, in milliseconds, if any. */
	readonly retryAfterMs?: number;
};
