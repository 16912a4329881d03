/**
Identifies a change of a row's budget account.
*/
import type {Epoch} from '../ids/epoch.js';
import type {ShardId} from '../ids/shard-id.js';

/** The shard and epoch of the owner that makes the change, and the id of the change. */
export type AccountChange = {
	readonly shard: ShardId;
	readonly epoch: Epoch;
	/** Unique per change, so that a change whose answer was lost can be recognised. */
	readonly changeId: string;
};
