/**
Returns unspent tokens of a block to a row's account.
*/
import {err, ok, type Result} from 'neverthrow';
import type {AccountChange} from './account-change.js';
import type {BudgetAccount} from './budget-account.js';

/** Returns the account after `amount` tokens were returned. An owner is fenced after one of another epoch has changed its shard's totals; its blocks then count as spent. */
export const returnBlock = (
	account: BudgetAccount,
	{shard, epoch, changeId, amount}: AccountChange & {readonly amount: number},
): Result<BudgetAccount, {readonly kind: 'fenced'}> => {
	const totals = account.shards[shard];
	if (totals?.epoch !== epoch) {
		return err({kind: 'fenced'});
	}

	const returned = totals.returned + amount;
	return ok({...account, shards: {...account.shards, [shard]: {...totals, returned, lastChangeId: changeId}}});
};
