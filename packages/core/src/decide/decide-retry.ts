/**
Decides whether a failed attempt is made again.

The budget ties retries to first attempts: however many upstreams fail, they
add a tenth to the load and not a multiple. A non-idempotent call is made
again only where the attempt truly did not run.
*/
import type {RetryDecision} from './retry-decision.js';

const MAX_ATTEMPTS = 4;
const FIRST_BACKOFF_MS = 50;

/** The project's retries: exponential backoff with full jitter, within the budget and the deadline. */
export const decideRetry: RetryDecision = (attempt, budget, random) => {
	const safe = attempt.idempotent || attempt.fate === 'not-run';
	const backoffMs = random() * FIRST_BACKOFF_MS * (2 ** attempt.attempts);
	const afterMs = Math.round((attempt.retryAfterMs ?? 0) + backoffMs);
	if (!safe || attempt.attempts >= MAX_ATTEMPTS || budget.tokens < 1 || afterMs >= attempt.deadlineMs) {
		return {retry: false, afterMs: 0, budget};
	}

	return {retry: true, afterMs, budget: {tokens: budget.tokens - 1}};
};
