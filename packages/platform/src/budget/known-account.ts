/**
A row's budget account as the platform's service last showed it.
*/
import type {BudgetAccount} from '@siskinhub/core/budget/budget-account.js';

/** The account and the version that the next compare-and-swap names. */
export type KnownAccount = {
	readonly account: BudgetAccount;
	readonly version: number;
};
