/**
Decides whether a failed attempt is retried.

The budget bounds retries by a share of the first attempts: however many
upstreams fail, retries add a tenth to the load and do not multiply it. A
non-idempotent call is retried only if the attempt is known not to have run.
*/
import type {RetryPolicy} from './retry-policy.js';

const MAX_ATTEMPTS = 4;
const BASE_BACKOFF_MS = 50;

/** The retry policy used in production: exponential backoff with full jitter, within the budget and the deadline. */
export const decideRetry: RetryPolicy = (attempt, budget, random) => {
	const safe = attempt.idempotent || attempt.fate === 'not-run';
	const backoffMs = random() * BASE_BACKOFF_MS * (2 ** attempt.attempts);
	const afterMs = Math.round((attempt.retryAfterMs ?? 0) + backoffMs);
	if (!safe || attempt.attempts >= MAX_ATTEMPTS || budget.tokens < 1 || afterMs >= attempt.deadlineMs) {
		return {retry: false, afterMs: 0, budget};
	}

	return {retry: true, afterMs, budget: {tokens: budget.tokens - 1}};
};
