/**
Routes requests to shard owners by the shard map. An owner that cannot be reached
or replies `not-owner` is removed from the map and looked up again: in this
entry's map, then by asking the highest-ranked entries for the shard.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok} from 'neverthrow';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';
import type {AskPeer} from '../ask-peer.js';
import type {ShardMap} from '../ownership/shard-map.js';
import type {OwnerRouter} from './owner-router.js';

const LOOKUP_TIMEOUT_MS = 500;
const LOOKUP_PAUSE_MS = 100;
const RETRY_AFTER_MS = 1000;
const MAX_ASKED_CANDIDATES = 3;
/** Time that an owner has to reply after it held a request until the caller's deadline. */
const ANSWER_GRACE_MS = 2500;

type RouterOptions = {
	readonly ask: AskPeer;
	readonly map: ShardMap;
	/** The entries in the order in which they may own the shard. */
	readonly rank: (shard: ShardId) => readonly PlatformHost[];
};

/** Creates the router of one entry. */
export const createOwnerRouter = ({ask, map, rank}: RouterOptions): OwnerRouter => {
	const lookUp = async (shard: ShardId): Promise<void> => {
		const candidates = rank(shard).slice(0, MAX_ASKED_CANDIDATES);
		await Promise.all(candidates.map(async candidate => {
			const reply = await ask(candidate.peerAddress, {case: 'ownersSince', value: {shard}}, {timeoutMs: LOOKUP_TIMEOUT_MS});
			if (reply.isOk() && reply.value.case === 'owners') {
				for (const owner of reply.value.value.owners) {
					map.note(owner.shard as ShardId, {host: owner.host, peerAddress: owner.peerAddress, epoch: Number(owner.epoch)});
				}
			}
		}));
	};

	return {
		async ask(shard, body, deadlineAt, traceparent) {
			do {
				const owner = map.ownerOf(shard);
				if (!owner) {
					await lookUp(shard);
				}

				const known = owner ?? map.ownerOf(shard);
				if (known) {
					const timeoutMs = Math.max(1, deadlineAt - Date.now()) + ANSWER_GRACE_MS;
					const reply = await ask(known.peerAddress, body, {timeoutMs, traceparent});
					if (reply.isOk() && reply.value.case !== 'notOwner') {
						return ok({body: reply.value, address: known.peerAddress});
					}

					map.forget(shard, known.epoch);
				}

				await delay(LOOKUP_PAUSE_MS);
			} while (Date.now() < deadlineAt);

			return err({code: 'unavailable', message: 'The owner of the program\'s shard could not be reached; send the same request again.', retryAfterMs: RETRY_AFTER_MS});
		},
	};
};
