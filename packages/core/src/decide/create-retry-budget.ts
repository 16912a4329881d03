/**
Creates retry budgets.
*/
import type {RetryBudget} from './retry-budget.js';

const INITIAL_RETRIES = 10;

/** Returns a budget with enough tokens for a few retries before any first attempt. */
export const createRetryBudget = (): RetryBudget => ({tokens: INITIAL_RETRIES});
