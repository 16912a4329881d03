/**
Baseline: a fixed number of attempts without a budget.
*/
import type {RetryDecision} from './retry-decision.js';

const MAX_ATTEMPTS = 3;

/** Repeats idempotent calls and calls that did not run, at once, three attempts in all. */
export const retryAtOnce: RetryDecision = (attempt, budget) => ({
	retry: attempt.attempts < MAX_ATTEMPTS && (attempt.idempotent || attempt.fate === 'not-run'),
	afterMs: 0,
	budget,
});
