/**
Interprets the key of a row's budget account.
*/
import {emptyBudgetAccount} from '@siskinhub/core/budget/empty-budget-account.js';
import type {KeyValue} from '../key-value.js';
import type {KnownAccount} from './known-account.js';
import {parseAccount} from './parse-account.js';

/** An absent key is an account from which nothing was taken; `undefined` if the key holds something else. */
export const readKnownAccount = (stored: KeyValue | undefined): KnownAccount | undefined => {
	if (!stored) {
		return {account: emptyBudgetAccount, version: 0};
	}

	const account = parseAccount(stored.value);
	return account && {account, version: stored.version};
};
