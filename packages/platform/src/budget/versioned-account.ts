/**
Pairs a row's budget account, as last read or written, with the version of its
key.
*/
import type {BudgetAccount} from '@siskinhub/core/budget/budget-account.js';

/** A budget account and the version of its key. */
export type VersionedAccount = {
	readonly account: BudgetAccount;
	/** Version that the next compare-and-swap expects; 0 if the key is absent. */
	readonly version: number;
};
