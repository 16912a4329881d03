/**
Orders the entries that may take a shard over.
*/
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';

type Hash = (text: string) => number;

/** Ranks the live entries by rendezvous hashing: each shard has its own order, and a host that leaves changes the owners of no shards but its own. */
export const rankCandidates = (shard: ShardId, entries: readonly PlatformHost[], hash: Hash): readonly PlatformHost[] =>
	entries
		.filter(entry => entry.state === 'live')
		.map(entry => ({entry, score: hash(`${shard}/${entry.id}`)}))
		.toSorted((a, b) => b.score - a.score)
		.map(({entry}) => entry);
