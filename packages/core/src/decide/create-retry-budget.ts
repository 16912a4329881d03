/**
Creates the initial state of a retry budget.
*/
import type {RetryBudget} from './retry-budget.js';

/** One retry costs one token. */
const INITIAL_TOKENS = 10;

/** Returns a budget that allows a few retries before the first attempts have filled it. */
export const createRetryBudget = (): RetryBudget => ({tokens: INITIAL_TOKENS});
