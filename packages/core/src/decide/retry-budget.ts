/**
The state of a retry budget.
*/

/** A token bucket: each first attempt adds a fraction of a token, each retry takes one. */
export type RetryBudget = {
	readonly tokens: number;
};
