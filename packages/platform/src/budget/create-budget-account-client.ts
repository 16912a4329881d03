/**
Accesses one row's budget account in the platform's service (key `budget/ROW`)
on behalf of the owner of one shard.
*/
import {ok, type Result} from 'neverthrow';
import type {AccountChange} from '@siskinhub/core/budget/account-change.js';
import {returnBlock} from '@siskinhub/core/budget/return-block.js';
import {takeBlock} from '@siskinhub/core/budget/take-block.js';
import type {Revision} from '@siskinhub/core/ids/revision.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {PlatformClient} from '../platform-client.js';
import type {PlatformError} from '../platform-error.js';
import {changeAccount} from './change-account.js';
import type {VersionedAccount} from './versioned-account.js';

type AccountOptions = Pick<AccountChange, 'shard' | 'epoch'> & {
	readonly client: PlatformClient;
	readonly row: RowKey;
	/** Returns a random string, unique for each change. */
	readonly createChangeId: () => string;
	readonly isClosed: () => boolean;
};

type TakeRequest = {
	/** Minimum size of the block, in tokens. */
	readonly atLeast: number;
	/** The row's budget cell, in tokens. */
	readonly limit: number;
	/** Revision of the table in which the cell was read. */
	readonly limitRevision: Revision;
	/** Whether the caller no longer waits for the block. */
	readonly isExpired: () => boolean;
};

type Fenced = {readonly kind: 'fenced'};
type Exhausted = {readonly kind: 'exhausted'; readonly remaining: number};

type BudgetAccountClient = {
	/** Takes a block of at least `atLeast` tokens and returns its size. After `unavailable` nothing was taken, unless the client was closed during the write. */
	readonly takeBlock: (request: TakeRequest) => Promise<Result<number, Fenced | Exhausted | PlatformError>>;
	/** Returns `amount` unspent tokens to the account. */
	readonly returnBlock: (amount: number) => Promise<Result<void, Fenced | PlatformError>>;
};

/** Creates the client. Its functions must not run concurrently. */
export const createBudgetAccountClient = ({client, row, shard, epoch, createChangeId, isClosed}: AccountOptions): BudgetAccountClient => {
	const key = `budget/${row}`;
	let known: VersionedAccount | undefined;

	const rememberAccount = <Outcome>(changed: {readonly outcome: Outcome; readonly known: VersionedAccount}): Outcome => {
		({known} = changed);
		return changed.outcome;
	};

	return {
		async takeBlock({isExpired, ...request}) {
			const change = {shard, epoch, changeId: createChangeId()};
			const taken = await changeAccount({
				client,
				key,
				change,
				apply: account => takeBlock(account, {...change, ...request}).map(block => ({account: block.account, outcome: block.granted})),
				known,
				isExpired,
				isClosed,
			});
			return taken.map(changed => rememberAccount(changed));
		},
		async returnBlock(amount) {
			const change = {shard, epoch, changeId: createChangeId()};
			const returned = await changeAccount({
				client,
				key,
				change,
				apply: account => returnBlock(account, {...change, amount}).map(next => ({account: next, outcome: amount})),
				known,
				isExpired: () => false,
				isClosed,
			});
			return returned.andThen(changed => {
				rememberAccount(changed);
				return ok();
			});
		},
	};
};
