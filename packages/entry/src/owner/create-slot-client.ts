/**
Acquires slots of rows whose concurrency is limited. Each row is counted by one
process, the owner of its home shard.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {OwnerRouter} from './owner-router.js';
import type {RowLimits} from './row-limits.js';

const POLL_MS = 50;
const RETRY_AFTER_MS = 500;
const RELEASE_TIMEOUT_MS = 5000;

type SlotClientOptions = {
	readonly router: OwnerRouter;
	/** The shard whose owner counts the row. */
	readonly getHomeShard: (row: RowKey) => ShardId;
	readonly createId: () => string;
};

/** Creates a function that waits for a slot of each limited row until `deadlineAt`, and returns the function that releases them. */
export const createSlotClient = ({router, getHomeShard, createId}: SlotClientOptions) => async (limits: RowLimits, deadlineAt: number): Promise<Result<() => void, Refusal>> => {
	const slot = createId();
	const held: RowKey[] = [];
	const release = () => {
		for (const row of held) {
			void router.ask(getHomeShard(row), {case: 'releaseSlot', value: {shard: getHomeShard(row), row, slot}}, Date.now() + RELEASE_TIMEOUT_MS);
		}
	};

	const acquire = async (row: RowKey, limit: number): Promise<Refusal | undefined> => {
		let refusal: Refusal;
		do {
			const answer = await router.ask(getHomeShard(row), {
				case: 'acquireSlot', value: {
					shard: getHomeShard(row), row, slot, limit,
				},
			}, deadlineAt);
			if (answer.isOk() && answer.value.body.case === 'acknowledged') {
				return undefined;
			}

			refusal = answer.isErr()
				? {code: 'unavailable', message: `The calls of ${row} cannot be counted now; send the same request again.`, retryAfterMs: RETRY_AFTER_MS}
				: {code: 'limit-reached', message: `All ${limit} calls that ${row} may run at the same time are taken; send the same request again.`, retryAfterMs: RETRY_AFTER_MS};

			await delay(POLL_MS);
		} while (Date.now() < deadlineAt);

		return refusal;
	};

	for (const {row, limit} of limits.concurrency) {
		const refusal = await acquire(row, limit);
		if (refusal) {
			release();
			return err(refusal);
		}

		held.push(row);
	}

	return ok(release);
};
