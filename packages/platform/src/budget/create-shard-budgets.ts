/**
The budgets that the owner of one shard spends from: a ledger for each row, fed
with blocks from the row's account. Calls are reserved from memory; the
platform's service is asked only when a block runs out.
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
import {createBudgetAccount} from './create-budget-account.js';

type ShardBudgetsOptions = {
	readonly client: PlatformClient;
	readonly shard: ShardId;
	readonly epoch: Epoch;
	/** Random text, unique for each change of an account. */
	readonly createChangeId: () => string;
};

type RowLimit = {
	readonly row: RowKey;
	/** The row's budget cell. */
	readonly limit: number;
	/** Revision of the table in which the cell was read. */
	readonly limitRevision: Revision;
};

type ReserveRequest = RowLimit & {
	/** Names the reservation; the same id again changes nothing. */
	readonly id: string;
	/** Worst-case cost of the call, in tokens. */
	readonly amount: number;
	readonly timeoutMs: number;
};

type ReserveError =
	// Another process owns the shard now.
	| {readonly kind: 'fenced'}
	| {readonly kind: 'exhausted'; readonly remaining: number}
	// Nothing was reserved.
	| PlatformError;

type ShardBudgets = {
	/** Reserves a call's worst-case cost, at once where the row's block holds it. */
	readonly reserve: (request: ReserveRequest) => Promise<Result<void, ReserveError>>;
	/** Ends a reservation with the cost of the call. */
	readonly settle: (row: RowKey, id: string, cost: number) => void;
	/** Ends the reservation of a call that did not run. */
	readonly release: (row: RowKey, id: string) => void;
	/** Heeds a changed cell: if it was lowered, the unreserved rest goes back to the account. */
	readonly updateLimit: (limit: RowLimit) => void;
	/** Returns all unreserved rests, for a graceful handover. */
	readonly returnAll: () => Promise<void>;
	readonly totals: (row: RowKey) => ReturnType<ReturnType<typeof createBudgetLedger>['totals']>;
	/** Stops trying; what is held counts as spent. */
	readonly close: () => void;
};

/** Starts with empty ledgers: what earlier owners of the shard held counts as spent. */
export const createShardBudgets = (options: ShardBudgetsOptions): ShardBudgets => {
	let isClosed = false;

	const createBook = (row: RowKey) => ({
		ledger: createBudgetLedger(),
		account: createBudgetAccount({...options, row, isClosed: () => isClosed}),
		runSerially: createSerialRunner(),
		limit: Number.POSITIVE_INFINITY,
		limitRevision: -1 as Revision,
	});
	type Book = ReturnType<typeof createBook>;
	const books = new Map<RowKey, Book>();

	const bookOf = (row: RowKey) => {
		const book = books.get(row) ?? createBook(row);
		books.set(row, book);
		return book;
	};

	const returnRest = async ({ledger, account, runSerially}: Book) => {
		const held = ledger.takeRest();
		return runSerially(async () => {
			// A block may have arrived while this waited.
			const rest = held + ledger.takeRest();
			if (rest > 0) {
				await account.returnBlock(rest);
			}
		});
	};

	const updateLimit = ({row, limit, limitRevision}: RowLimit) => {
		const book = bookOf(row);
		if (limitRevision <= book.limitRevision) {
			return;
		}

		const isLowered = limit < book.limit;
		book.limit = limit;
		book.limitRevision = limitRevision;
		if (isLowered) {
			void returnRest(book);
		}
	};

	/** Takes blocks until one holds the reservation; calls that are reserved from memory meanwhile may use them up. */
	const reserveFromAccount = async ({ledger, account, limit, limitRevision}: Book, {id, amount}: ReserveRequest, isExpired: () => boolean): Promise<Result<void, ReserveError>> => {
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

		return err({kind: 'unavailable', message: 'Nobody waits for the reservation any more.'});
	};

	return {
		async reserve(request) {
			updateLimit(request);
			const book = bookOf(request.row);
			if (book.ledger.reserve(request.id, request.amount).isOk()) {
				return ok();
			}

			return runWithTimeout(async isExpired => book.runSerially(async () => reserveFromAccount(book, request, isExpired)), request.timeoutMs);
		},
		settle(row, id, cost) {
			bookOf(row).ledger.settle(id, cost);
		},
		release(row, id) {
			bookOf(row).ledger.release(id);
		},
		updateLimit,
		async returnAll() {
			await Promise.all([...books.values()].map(async book => returnRest(book)));
		},
		totals: row => bookOf(row).ledger.totals(),
		close() {
			isClosed = true;
		},
	};
};
