/**
Keeps, for each shard, the known owner with the highest epoch.
*/
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {ShardMap} from './shard-map.js';

/** Creates an empty map. */
export const createShardMap = (): ShardMap => {
	const owners = new Map<ShardId, {host: string; peerAddress: string; epoch: number}>();
	return {
		ownerOf: shard => owners.get(shard),
		note(shard, owner) {
			if (owner.epoch >= (owners.get(shard)?.epoch ?? 0)) {
				owners.set(shard, owner);
			}
		},
		forget(shard, epoch) {
			if ((owners.get(shard)?.epoch ?? Infinity) <= epoch) {
				owners.delete(shard);
			}
		},
	};
};
