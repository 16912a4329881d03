/**
Changes a row's budget account with optimistic concurrency control: reads the
account, computes the change, writes the result by compare-and-swap, and starts
again if the owner of another shard changed the account in between.
*/
import {err, ok, type Result} from 'neverthrow';
import type {AccountChange} from '@siskinhub/core/budget/account-change.js';
import type {BudgetAccount} from '@siskinhub/core/budget/budget-account.js';
import {createBackoff} from '../log/create-backoff.js';
import type {PlatformClient} from '../platform-client.js';
import type {PlatformError} from '../platform-error.js';
import type {VersionedAccount} from './versioned-account.js';
import {parseVersionedAccount} from './parse-versioned-account.js';
import {writeAccount} from './write-account.js';

type Applied<Outcome> = {readonly account: BudgetAccount; readonly outcome: Outcome};

type ChangeRequest<Outcome, Refusal> = {
	readonly client: PlatformClient;
	readonly key: string;
	readonly change: AccountChange;
	/** Computes the changed account. Must be pure, since it is called again after each conflict. */
	readonly apply: (account: BudgetAccount) => Result<Applied<Outcome>, Refusal>;
	/** The account as last seen; saves the read if it is still current. */
	readonly known?: VersionedAccount;
	/** Whether the caller no longer waits. A write whose outcome is unknown is still retried until it is known or `isClosed` returns true. */
	readonly isExpired: () => boolean;
	readonly isClosed: () => boolean;
};

type Changed<Outcome> = {readonly outcome: Outcome; readonly known: VersionedAccount};

/** Returns the outcome of the change, which has then taken effect exactly once, or the reason why it has not taken effect. After a close during the write, `unavailable` leaves that open. */
export const changeAccount = async <Outcome, Refusal>(request: ChangeRequest<Outcome, Refusal>): Promise<Result<Changed<Outcome>, Refusal | PlatformError>> => {
	const {client, key, change, apply, known: lastKnown, isExpired, isClosed} = request;
	const waitBeforeRetry = createBackoff();
	const malformed = err<never, PlatformError>({kind: 'malformed', message: `${key} does not hold a valid budget account; restore the key.`});
	let known = lastKnown;
	while (!isClosed() && !isExpired()) {
		if (!known) {
			const read = await client.get(key);
			if (read.isErr()) {
				await waitBeforeRetry();
				continue;
			}

			known = parseVersionedAccount(read.value);
			if (!known) {
				return malformed;
			}
		}

		const applied = apply(known.account);
		if (applied.isErr() && known !== lastKnown) {
			return err(applied.error);
		}

		if (applied.isErr()) {
			// The account as last seen may be out of date; read it before refusing.
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
