/**
The shards that this entry owns, and the search for those that nobody owns.
*/
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {ShardOwner} from '../owner/shard-owner.js';

/** Takes over shards whose owner is gone, and hands its own over on leaving. */
export type Ownership = {
	readonly get: (shard: ShardId) => ShardOwner | undefined;
	readonly owned: () => readonly ShardOwner[];
	/** False while the platform's service does not answer. */
	readonly isPlatformUp: () => boolean;
	/** Stops taking shards over and hands over those that it owns. */
	readonly leave: () => Promise<void>;
	readonly stop: () => void;
};
