/**
Fills a retry budget.
*/
import type {RetryBudget} from './retry-budget.js';

/** Retries that each first attempt pays for. */
const RETRIES_PER_ATTEMPT = 0.1;
const MAX_TOKENS = 100;

/** Returns the budget after one more first attempt. */
export const depositAttempt = (budget: RetryBudget): RetryBudget => ({tokens: Math.min(MAX_TOKENS, budget.tokens + RETRIES_PER_ATTEMPT)});
