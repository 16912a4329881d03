/**
Writes a row's budget account and tries again until the write's fate is known.
*/
import type {AccountChange} from '@siskinhub/core/budget/account-change.js';
import type {BudgetAccount} from '@siskinhub/core/budget/budget-account.js';
import {createBackoff} from '../log/create-backoff.js';
import type {PlatformClient} from '../platform-client.js';
import type {KnownAccount} from './known-account.js';
import {readKnownAccount} from './read-known-account.js';

type WriteOutcome =
	| {readonly kind: 'stored'; readonly known: KnownAccount}
	// Another change came first; this one never will take effect.
	| {readonly kind: 'conflict'; readonly known: KnownAccount}
	| {readonly kind: 'closed'}
	| {readonly kind: 'malformed'};

type WriteRequest = {
	readonly client: PlatformClient;
	readonly key: string;
	readonly account: BudgetAccount;
	readonly expectedVersion: number;
	readonly change: AccountChange;
	readonly isClosed: () => boolean;
};

/** The account's last change of the shard tells a write whose answer was lost from another's. */
export const writeAccount = async ({client, key, account, expectedVersion, change, isClosed}: WriteRequest): Promise<WriteOutcome> => {
	const value = JSON.stringify(account);
	const wait = createBackoff();
	while (!isClosed()) {
		const answer = await client.put({key, value, expectedVersion});
		if (answer.isErr()) {
			await wait();
			continue;
		}

		if (answer.value.kind === 'stored') {
			return {kind: 'stored', known: {account, version: answer.value.version}};
		}

		const known = readKnownAccount(answer.value.current);
		if (!known) {
			return {kind: 'malformed'};
		}

		const isOurs = known.account.shards[change.shard]?.lastChangeId === change.changeId;
		return {kind: isOurs ? 'stored' : 'conflict', known};
	}

	return {kind: 'closed'};
};
