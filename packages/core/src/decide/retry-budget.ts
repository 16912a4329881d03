/**
The state of a retry budget.
*/

/** A token bucket that first attempts fill and retries empty. */
export type RetryBudget = {
	readonly tokens: number;
};
