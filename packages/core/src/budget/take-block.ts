/**
Takes a block of a row's budget out of its account.
*/
import {err, ok, type Result} from 'neverthrow';
import type {Revision} from '../ids/revision.js';
import type {AccountChange} from './account-change.js';
import type {BudgetAccount} from './budget-account.js';
import {sumOutstanding} from './sum-outstanding.js';

// Each block is at most this part of what remains, so that blocks shrink as the budget runs out and other shards find some.
const BLOCK_DIVISOR = 16;

type BlockRequest = AccountChange & {
	/** Tokens without which the block is of no use. */
	readonly atLeast: number;
	/** The row's budget cell. */
	readonly limit: number;
	/** Revision of the table in which the cell was read; an older one than the account knows does not count. */
	readonly limitRevision: Revision;
};

type BlockError =
	// A later owner of the shard has changed the account.
	| {readonly kind: 'fenced'}
	// Less than `atLeast` remains.
	| {readonly kind: 'exhausted'; readonly remaining: number};

/**
Returns the account after the block was taken. What earlier owners of the shard
took and did not return stays spent.
*/
export const takeBlock = (account: BudgetAccount, request: BlockRequest): Result<{readonly account: BudgetAccount; readonly granted: number}, BlockError> => {
	const {shard, epoch, changeId, atLeast} = request;
	const totals = account.shards[shard];
	if (totals && totals.epoch > epoch) {
		return err({kind: 'fenced'});
	}

	const {limit, limitRevision} = request.limitRevision >= account.limitRevision ? request : account;
	const remaining = limit - sumOutstanding(account);
	if (remaining < atLeast) {
		return err({kind: 'exhausted', remaining: Math.max(0, remaining)});
	}

	const granted = Math.max(atLeast, Math.floor(remaining / BLOCK_DIVISOR));
	return ok({
		granted,
		account: {
			limit,
			limitRevision,
			shards: {
				...account.shards,
				[shard]: {
					epoch, taken: (totals?.taken ?? 0) + granted, returned: totals?.returned ?? 0, lastChangeId: changeId,
				},
			},
		},
	});
};
