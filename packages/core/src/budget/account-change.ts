/**
Who changes a row's account.
*/
import type {Epoch} from '../ids/epoch.js';
import type {ShardId} from '../ids/shard-id.js';

/** The owner of a shard at an epoch, and the id of its change. */
export type AccountChange = {
	readonly shard: ShardId;
	readonly epoch: Epoch;
	/** Unique for each change. */
	readonly changeId: string;
};
