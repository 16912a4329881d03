/**
Who owns which shard, as far as this entry knows.
*/
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';

type KnownOwner = {
	readonly host: string;
	readonly peerAddress: string;
	readonly epoch: number;
};

/** A hint for routing only; correctness does not depend on it. */
export type ShardMap = {
	readonly ownerOf: (shard: ShardId) => KnownOwner | undefined;
	/** Notes an owner unless a later epoch is known. */
	readonly note: (shard: ShardId, owner: KnownOwner) => void;
	/** Removes the owner of a shard unless a later epoch than `epoch` is known. */
	readonly forget: (shard: ShardId, epoch: number) => void;
};
