/**
The type of every policy that retries, baselines included.
*/
import type {Random} from './random.js';
import type {RetryBudget} from './retry-budget.js';
import type {RetryView} from './retry-view.js';

type RetryOutcome = {
	readonly retry: boolean;
	/** Wait before the retry, in milliseconds. */
	readonly afterMs: number;
	readonly budget: RetryBudget;
};

/** Decides whether a failed attempt is made again, and returns the budget left. */
export type RetryDecision = (attempt: RetryView, budget: RetryBudget, random: Random) => RetryOutcome;
