/**
Sends questions to the owner of a shard, wherever it is.
*/
import type {Result} from 'neverthrow';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {Body} from '@siskinhub/peer/body.js';
import type {BodyInit} from '@siskinhub/peer/body-init.js';

type OwnerAnswer = {
	readonly body: Body;
	/** Who answered, as `http://IP:PORT`. */
	readonly address: string;
};

/** Finds the owner, follows it when it moves, and fails with `unavailable` at the deadline. */
export type OwnerRouter = {
	readonly ask: (shard: ShardId, body: BodyInit, deadlineAt: number, traceparent?: string) => Promise<Result<OwnerAnswer, Refusal>>;
};
