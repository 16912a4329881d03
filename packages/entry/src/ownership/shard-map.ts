/**
Who owns which shard, as far as this entry knows.
*/
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';

type KnownOwner = {
	readonly host: string;
	readonly peerAddress: string;
	readonly epoch: number;
};

/** A hint for routing; safety never rests on it. */
export type ShardMap = {
	readonly ownerOf: (shard: ShardId) => KnownOwner | undefined;
	/** Notes an owner unless a later epoch is known. */
	readonly note: (shard: ShardId, owner: KnownOwner) => void;
	/** Forgets an owner that answered that it is none. */
	readonly forget: (shard: ShardId, epoch: number) => void;
};
