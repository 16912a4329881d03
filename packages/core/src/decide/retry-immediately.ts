/**
Baseline retry policy: a fixed number of attempts without a budget or backoff.
*/
import type {RetryPolicy} from './retry-policy.js';

const MAX_ATTEMPTS = 3;

/** Retries idempotent calls and calls that did not run immediately, up to three attempts in total. */
export const retryImmediately: RetryPolicy = (attempt, budget) => ({
	retry: attempt.attempts < MAX_ATTEMPTS && (attempt.idempotent || attempt.fate === 'not-run'),
	afterMs: 0,
	budget,
});
