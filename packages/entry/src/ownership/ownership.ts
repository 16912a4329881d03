/**
The shards that this entry owns, and the takeover of shards that have no owner.
*/
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {ShardOwner} from '../owner/shard-owner.js';

/** Takes over shards whose owner is gone, and hands over its own when the entry leaves. */
export type Ownership = {
	readonly get: (shard: ShardId) => ShardOwner | undefined;
	readonly owned: () => readonly ShardOwner[];
	/** False while the platform's service does not answer. */
	readonly isPlatformUp: () => boolean;
	/** Stops taking shards over, hands over those that it owns and revokes the lease. */
	readonly leave: () => Promise<void>;
	/** Stops polling and renewing, without a handover. */
	readonly stop: () => void;
};
