/**
One row's budget account in the platform's service, as the owner of one shard
uses it: key `budget/ROW`.
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
import type {KnownAccount} from './known-account.js';

type AccountOptions = Pick<AccountChange, 'shard' | 'epoch'> & {
	readonly client: PlatformClient;
	readonly row: RowKey;
	/** Random text, unique for each change. */
	readonly createChangeId: () => string;
	readonly isClosed: () => boolean;
};

type TakeRequest = {
	readonly atLeast: number;
	readonly limit: number;
	readonly limitRevision: Revision;
	/** Whether nobody waits for the block any more. */
	readonly isExpired: () => boolean;
};

type Fenced = {readonly kind: 'fenced'};
type Exhausted = {readonly kind: 'exhausted'; readonly remaining: number};

type BudgetAccountClient = {
	/** Takes a block of `atLeast` tokens or more. After `unavailable` nothing was taken. */
	readonly takeBlock: (request: TakeRequest) => Promise<Result<number, Fenced | Exhausted | PlatformError>>;
	/** Gives back the unspent rest of a block. */
	readonly returnBlock: (amount: number) => Promise<Result<void, Fenced | PlatformError>>;
};

/** Its functions must not run at the same time. */
export const createBudgetAccount = ({client, row, shard, epoch, createChangeId, isClosed}: AccountOptions): BudgetAccountClient => {
	const key = `budget/${row}`;
	let known: KnownAccount | undefined;

	const note = <Outcome>(changed: {readonly outcome: Outcome; readonly known: KnownAccount}): Outcome => {
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
			return taken.map(changed => note(changed));
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
				note(changed);
				return ok();
			});
		},
	};
};
