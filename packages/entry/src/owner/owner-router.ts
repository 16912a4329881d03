/**
Sends requests to the owner of a shard, whichever entry that is.
*/
import type {Result} from 'neverthrow';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {Body} from '@siskinhub/peer/body.js';
import type {BodyInit} from '@siskinhub/peer/body-init.js';

type OwnerAnswer = {
	readonly body: Body;
	/** Address of the owner that replied, as `http://IP:PORT`. */
	readonly address: string;
};

/** Finds the owner, retries when the shard changes owners, and fails with `unavailable` at the deadline. */
export type OwnerRouter = {
	readonly ask: (shard: ShardId, body: BodyInit, deadlineAt: number, traceparent?: string) => Promise<Result<OwnerAnswer, Refusal>>;
};
