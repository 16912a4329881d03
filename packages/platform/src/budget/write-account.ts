/**
Writes a row's budget account by compare-and-swap and retries until the outcome
is known. After a lost response, the id of the shard's last change in the account
shows whether the write took effect.
*/
import type {AccountChange} from '@siskinhub/core/budget/account-change.js';
import type {BudgetAccount} from '@siskinhub/core/budget/budget-account.js';
import {createBackoff} from '../log/create-backoff.js';
import type {PlatformClient} from '../platform-client.js';
import type {VersionedAccount} from './versioned-account.js';
import {parseVersionedAccount} from './parse-versioned-account.js';

type WriteOutcome =
	| {readonly kind: 'stored'; readonly known: VersionedAccount}
	// Another change came first; this one has not taken effect and never will.
	| {readonly kind: 'conflict'; readonly known: VersionedAccount}
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

/** Resolves only when the outcome is known or `isClosed` returns true, with no timeout. */
export const writeAccount = async ({client, key, account, expectedVersion, change, isClosed}: WriteRequest): Promise<WriteOutcome> => {
	const value = JSON.stringify(account);
	const waitBeforeRetry = createBackoff();
	while (!isClosed()) {
		const answer = await client.put({key, value, expectedVersion});
		if (answer.isErr()) {
			await waitBeforeRetry();
			continue;
		}

		if (answer.value.kind === 'stored') {
			return {kind: 'stored', known: {account, version: answer.value.version}};
		}

		const known = parseVersionedAccount(answer.value.current);
		if (!known) {
			return {kind: 'malformed'};
		}

		const isOurs = known.account.shards[change.shard]?.lastChangeId === change.changeId;
		return {kind: isOurs ? 'stored' : 'conflict', known};
	}

	return {kind: 'closed'};
};
