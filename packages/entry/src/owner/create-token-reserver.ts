/**
Reserves the worst-case cost of a call in the budget of each of its rows.
*/
import {err, ok, type Result} from 'neverthrow';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {createShardBudgets} from '@siskinhub/platform/budget/create-shard-budgets.js';
import type {RowLimits} from './row-limits.js';
import type {TokenReservation} from './token-reservation.js';

type ShardBudgets = ReturnType<typeof createShardBudgets>;
type ReserveError = Parameters<Parameters<Awaited<ReturnType<ShardBudgets['reserve']>>['mapErr']>[0]>[0];

const RETRY_AFTER_MS = 1000;

const describeError = (error: ReserveError, row: string): Refusal => {
	switch (error.kind) {
		case 'exhausted': {
			return {code: 'budget-exhausted', message: `The budget of ${row} has ${error.remaining} tokens left, fewer than the call may need; ask the operator to raise the cell.`};
		}

		case 'fenced': {
			return {code: 'unavailable', message: 'The program has another owner now; send the same request again.', retryAfterMs: RETRY_AFTER_MS};
		}

		default: {
			return {code: 'not-run', message: 'The platform\'s service did not answer before the deadline, so no budget could be taken; the call did not run.', retryAfterMs: RETRY_AFTER_MS};
		}
	}
};

/** Creates the function for one shard's owner; `timeoutMs` applies to each row. */
export const createTokenReserver = (budgets: ShardBudgets, createId: () => string) => async (limits: RowLimits, tokens: number, timeoutMs: number): Promise<Result<TokenReservation, Refusal>> => {
	const id = createId();
	const reservedRows: Array<RowLimits['budgets'][number]['row']> = [];
	const release = () => {
		for (const row of reservedRows) {
			budgets.release(row, id);
		}
	};

	for (const {row, limit} of tokens > 0 ? limits.budgets : []) {
		const reserved = await budgets.reserve({
			row, limit, limitRevision: limits.revision, id, amount: tokens, timeoutMs,
		});
		if (reserved.isErr()) {
			release();
			return err(describeError(reserved.error, row));
		}

		reservedRows.push(row);
	}

	return ok({
		settle(usedTokens) {
			for (const row of reservedRows) {
				budgets.settle(row, id, usedTokens);
			}
		},
		release,
	});
};
