/**
Ranks the entries for each shard and caches the result until the list of hosts changes.
*/
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';
import {rankCandidates} from './rank-candidates.js';

type RankingOptions = {
	/** Returns the same array until the list changes. */
	readonly entries: () => readonly PlatformHost[];
	readonly hash: (text: string) => number;
	/** Whether the host with this id has announced that it is leaving; known before the list shows it. */
	readonly isLeaving: (host: string) => boolean;
};

/** Creates the function that returns the entries in the order in which they may take a shard over. */
export const createCandidateRanking = ({entries, hash, isLeaving}: RankingOptions) => {
	let rankedList: readonly PlatformHost[] | undefined;
	const ranked = new Map<ShardId, readonly PlatformHost[]>();

	return (shard: ShardId): readonly PlatformHost[] => {
		const list = entries();
		if (list !== rankedList) {
			rankedList = list;
			ranked.clear();
		}

		const known = ranked.get(shard) ?? rankCandidates(shard, list, hash);
		ranked.set(shard, known);
		return known.filter(({id}) => !isLeaving(id));
	};
};
