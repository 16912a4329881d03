/**
The refusal of an idempotent request whose last grant did not run, while an
earlier one may have.
*/
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';

const RETRY_AFTER_MS = 1000;

/** Replaces `not-run`, which would be wrong. */
export const EARLIER_RUN_POSSIBLE: Refusal = {
	code: 'unavailable',
	message: 'No upstream took the call now, and an earlier try may have run; send the same request again.',
	retryAfterMs: RETRY_AFTER_MS,
};
