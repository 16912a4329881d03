/**
Sends requests to the owner of a shard, whichever entry that is.
*/
import type {Result} from 'neverthrow';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';

type OwnerAnswer = {
	readonly body: MessageBody;
	/** Address of the owner that replied, as `http://IP:PORT`. */
	readonly address: string;
};

/** Finds the owner, retries when the shard changes owners, and fails with `unavailable` at the deadline. */
export type OwnerRouter = {
	readonly ask: (shard: ShardId, body: MessageBodyInit, deadlineAt: number, traceparent?: string) => Promise<Result<OwnerAnswer, Refusal>>;
};
