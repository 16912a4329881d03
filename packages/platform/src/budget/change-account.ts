/**
Changes a row's budget account by compare-and-swap: reads, computes, writes,
and begins anew where another owner came first.
*/
import {err, ok, type Result} from 'neverthrow';
import type {AccountChange} from '@siskinhub/core/budget/account-change.js';
import type {BudgetAccount} from '@siskinhub/core/budget/budget-account.js';
import {createBackoff} from '../log/create-backoff.js';
import type {PlatformClient} from '../platform-client.js';
import type {PlatformError} from '../platform-error.js';
import type {KnownAccount} from './known-account.js';
import {readKnownAccount} from './read-known-account.js';
import {writeAccount} from './write-account.js';

type Applied<Outcome> = {readonly account: BudgetAccount; readonly outcome: Outcome};

type ChangeRequest<Outcome, Refusal> = {
	readonly client: PlatformClient;
	readonly key: string;
	readonly change: AccountChange;
	/** Computes the change on the account that it meets. Pure. */
	readonly apply: (account: BudgetAccount) => Result<Applied<Outcome>, Refusal>;
	/** The account as it was last seen; saves a read. */
	readonly known?: KnownAccount;
	/** Whether nobody waits any more; a write whose fate is open is resolved nevertheless, until `isClosed`. */
	readonly isExpired: () => boolean;
	readonly isClosed: () => boolean;
};

type Changed<Outcome> = {readonly outcome: Outcome; readonly known: KnownAccount};

/** Returns the outcome of the change, which took effect once, or why it did not take effect. */
export const changeAccount = async <Outcome, Refusal>(request: ChangeRequest<Outcome, Refusal>): Promise<Result<Changed<Outcome>, Refusal | PlatformError>> => {
	const {client, key, change, apply, known: lastKnown, isExpired, isClosed} = request;
	const wait = createBackoff();
	const malformed = err<never, PlatformError>({kind: 'malformed', message: `${key} holds no budget account; restore the key.`});
	let known = lastKnown;
	while (!isClosed() && !isExpired()) {
		if (!known) {
			const read = await client.get(key);
			if (read.isErr()) {
				await wait();
				continue;
			}

			known = readKnownAccount(read.value);
			if (!known) {
				return malformed;
			}
		}

		const applied = apply(known.account);
		if (applied.isErr() && known !== lastKnown) {
			return err(applied.error);
		}

		if (applied.isErr()) {
			// What was last seen may be out of date.
			known = undefined;
			continue;
		}

		const written = await writeAccount({
			client, key, account: applied.value.account, expectedVersion: known.version, change, isClosed,
		});
		if (written.kind === 'malformed') {
			return malformed;
		}

		if (written.kind === 'stored') {
			return ok({outcome: applied.value.outcome, known: written.known});
		}

		known = written.kind === 'conflict' ? written.known : undefined;
	}

	return err({kind: 'unavailable', message: 'The platform\'s service did not answer in time; try again when it does.'});
};
