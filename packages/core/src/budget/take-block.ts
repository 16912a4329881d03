/**
Takes a block of tokens from a row's budget account.
*/
import {err, ok, type Result} from 'neverthrow';
import type {Revision} from '../ids/revision.js';
import type {AccountChange} from './account-change.js';
import type {BudgetAccount} from './budget-account.js';
import {sumAllocatedTokens} from './sum-allocated-tokens.js';

/** A block has 1/16 of the remaining tokens, or as many as the owner needs at least: blocks shrink as the budget runs out, which leaves tokens for other shards. */
const REMAINING_DIVISOR = 16;

type BlockRequest = AccountChange & {
	/** Smallest useful block, in tokens. */
	readonly atLeast: number;
	/** Value of the row's budget cell, in tokens. */
	readonly limit: number;
	/** Table revision at which the cell was read. If the account knows a newer one, its limit applies instead. */
	readonly limitRevision: Revision;
};

type BlockError =
	// A later owner of the shard has changed the account.
	| {readonly kind: 'fenced'}
	// Fewer than `atLeast` tokens remain.
	| {readonly kind: 'exhausted'; readonly remaining: number};

/**
Returns the account after the block was taken, and the size of the block in
tokens. Tokens that earlier owners of the shard took and did not return stay
spent.
*/
export const takeBlock = (account: BudgetAccount, request: BlockRequest): Result<{readonly account: BudgetAccount; readonly granted: number}, BlockError> => {
	const {shard, epoch, changeId, atLeast} = request;
	const totals = account.shards[shard];
	if (totals && totals.epoch > epoch) {
		return err({kind: 'fenced'});
	}

	const {limit, limitRevision} = request.limitRevision >= account.limitRevision ? request : account;
	const remaining = limit - sumAllocatedTokens(account);
	if (remaining < atLeast) {
		return err({kind: 'exhausted', remaining: Math.max(0, remaining)});
	}

	const granted = Math.max(atLeast, Math.floor(remaining / REMAINING_DIVISOR));
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
