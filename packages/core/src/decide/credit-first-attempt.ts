/**
Refills a retry budget with first attempts.
*/
import type {RetryBudget} from './retry-budget.js';

/** Allows retries up to a tenth of the first attempts. */
const TOKENS_PER_ATTEMPT = 0.1;
/** Bounds the retries after a long time without failures. */
const MAX_TOKENS = 100;

/** Returns the budget after one more first attempt. */
export const creditFirstAttempt = (budget: RetryBudget): RetryBudget => ({tokens: Math.min(MAX_TOKENS, budget.tokens + TOKENS_PER_ATTEMPT)});
