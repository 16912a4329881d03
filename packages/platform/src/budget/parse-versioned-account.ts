/**
Converts the record under the key of a row's budget account into the account and
its version.
*/
import {EMPTY_BUDGET_ACCOUNT} from '@siskinhub/core/budget/empty-budget-account.js';
import type {KeyValue} from '../key-value.js';
import type {VersionedAccount} from './versioned-account.js';
import {parseAccount} from './parse-account.js';

/** Returns the empty account, from which nothing was taken, if the key is absent, and `undefined` if its value is not a valid account. */
export const parseVersionedAccount = (stored: KeyValue | undefined): VersionedAccount | undefined => {
	if (!stored) {
		return {account: EMPTY_BUDGET_ACCOUNT, version: 0};
	}

	const account = parseAccount(stored.value);
	return account && {account, version: stored.version};
};
