/**
The signature of retry policies, baselines included.
*/
import type {Random} from './random.js';
import type {RetryBudget} from './retry-budget.js';
import type {FailedAttempt} from './failed-attempt.js';

type RetryOutcome = {
	readonly retry: boolean;
	/** Wait before the retry, in milliseconds. */
	readonly afterMs: number;
	readonly budget: RetryBudget;
};

/** Decides whether a failed attempt is retried, and returns the remaining budget. */
export type RetryPolicy = (attempt: FailedAttempt, budget: RetryBudget, random: Random) => RetryOutcome;
