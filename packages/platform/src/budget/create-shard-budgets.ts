/**
Manages the budgets that the owner of one shard spends from. Each row has a
ledger in memory, to which blocks of tokens are added from the row's account in
the platform's service. Calls are reserved in the ledger; the service is called
only when the ledger's tokens run out.
*/
import {err, ok, type Result} from 'neverthrow';
import {createBudgetLedger} from '@siskinhub/core/budget/create-budget-ledger.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {Revision} from '@siskinhub/core/ids/revision.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import {createSerialRunner} from '../log/create-serial-runner.js';
import {runWithTimeout} from '../log/run-with-timeout.js';
import type {PlatformClient} from '../platform-client.js';
import type {PlatformError} from '../platform-error.js';
import {createBudgetAccountClient} from './create-budget-account-client.js';

type ShardBudgetsOptions = {
	readonly client: PlatformClient;
	readonly shard: ShardId;
	readonly epoch: Epoch;
	/** Returns a random string, unique for each change of an account. */
	readonly createChangeId: () => string;
};

type RowLimit = {
	readonly row: RowKey;
	/** The row's budget cell, in tokens. */
	readonly limit: number;
	/** Revision of the table in which the cell was read. */
	readonly limitRevision: Revision;
};

type ReserveRequest = RowLimit & {
	/** Id of the reservation; reserving the same id again has no effect. */
	readonly id: string;
	/** Worst-case cost of the call, in tokens. */
	readonly amount: number;
	readonly timeoutMs: number;
};

type ReserveError =
	// Another process has taken over the shard.
	| {readonly kind: 'fenced'}
	| {readonly kind: 'exhausted'; readonly remaining: number}
	// Nothing was reserved.
	| PlatformError;

type ShardBudgets = {
	/** Reserves a call's worst-case cost, without a call to the platform's service if the row's ledger covers it. */
	readonly reserve: (request: ReserveRequest) => Promise<Result<void, ReserveError>>;
	/** Ends a reservation and charges the actual cost of the call, in tokens. */
	readonly settle: (row: RowKey, id: string, cost: number) => void;
	/** Ends the reservation of a call that did not run, at no cost. */
	readonly release: (row: RowKey, id: string) => void;
	/** Applies a changed budget cell. If the limit was lowered, the row's unreserved tokens are returned to its account. A revision that is not newer than the last one applied is ignored. */

	readonly updateLimit: (limit: RowLimit) => void;
	/** Returns the unreserved tokens of all rows to their accounts, for a graceful handover of the shard. */
	readonly returnAll: () => Promise<void>;
	readonly totals: (row: RowKey) => ReturnType<ReturnType<typeof createBudgetLedger>['totals']>;
	/** Stops the retries of changes to accounts. The tokens that are still in the ledgers count as spent. */
	readonly close: () => void;
};

/** Starts with empty ledgers; tokens that earlier owners of the shard took and did not return count as spent. */
export const createShardBudgets = (options: ShardBudgetsOptions): ShardBudgets => {
	let isClosed = false;

	const createRowBudget = (row: RowKey) => ({
		ledger: createBudgetLedger(),
		account: createBudgetAccountClient({...options, row, isClosed: () => isClosed}),
		runSerially: createSerialRunner(),
		limit: Number.POSITIVE_INFINITY,
		limitRevision: -1 as Revision,
	});
	type RowBudget = ReturnType<typeof createRowBudget>;
	const rowBudgets = new Map<RowKey, RowBudget>();

	const getRowBudget = (row: RowKey) => {
		const rowBudget = rowBudgets.get(row) ?? createRowBudget(row);
		rowBudgets.set(row, rowBudget);
		return rowBudget;
	};

	const returnUnreserved = async ({ledger, account, runSerially}: RowBudget) => {
		const held = ledger.takeUnreserved();
		return runSerially(async () => {
			// A block may have been added while this function waited its turn.
			const unreserved = held + ledger.takeUnreserved();
			if (unreserved > 0) {
				await account.returnBlock(unreserved);
			}
		});
	};

	const updateLimit = ({row, limit, limitRevision}: RowLimit) => {
		const rowBudget = getRowBudget(row);
		if (limitRevision <= rowBudget.limitRevision) {
			return;
		}

		const isLowered = limit < rowBudget.limit;
		rowBudget.limit = limit;
		rowBudget.limitRevision = limitRevision;
		if (isLowered) {
			void returnUnreserved(rowBudget);
		}
	};

	/** Takes blocks until the ledger covers the reservation. Several may be needed, because other calls can be reserved from a block before this one. */
	const reserveFromAccount = async ({ledger, account, limit, limitRevision}: RowBudget, {id, amount}: ReserveRequest, isExpired: () => boolean): Promise<Result<void, ReserveError>> => {
		while (!isExpired()) {
			const reserved = ledger.reserve(id, amount);
			if (reserved.isOk()) {
				return ok();
			}

			const block = await account.takeBlock({
				atLeast: reserved.error.missing, limit, limitRevision, isExpired,
			});
			if (block.isErr()) {
				return err(block.error);
			}

			ledger.addBlock(block.value);
		}

		return err({kind: 'unavailable', message: 'The reservation timed out; nothing was reserved.'});
	};

	return {
		async reserve(request) {
			updateLimit(request);
			const rowBudget = getRowBudget(request.row);
			if (rowBudget.ledger.reserve(request.id, request.amount).isOk()) {
				return ok();
			}

			return runWithTimeout(async isExpired => rowBudget.runSerially(async () => reserveFromAccount(rowBudget, request, isExpired)), request.timeoutMs);
		},
		settle(row, id, cost) {
			getRowBudget(row).ledger.settle(id, cost);
		},
		release(row, id) {
			getRowBudget(row).ledger.release(id);
		},
		updateLimit,
		async returnAll() {
			await Promise.all([...rowBudgets.values()].map(async rowBudget => returnUnreserved(rowBudget)));
		},
		totals: row => getRowBudget(row).ledger.totals(),
		close() {
			isClosed = true;
		},
	};
};
