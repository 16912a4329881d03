/**
Ranks the entries for each shard, once for each list of hosts.
*/
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';
import {rankCandidates} from './rank-candidates.js';

type RankingOptions = {
	/** The same array as long as the list has not changed. */
	readonly entries: () => readonly PlatformHost[];
	readonly hash: (text: string) => number;
	/** Whether the host with this id says that it leaves, ahead of the list. */
	readonly isLeaving: (host: string) => boolean;
};

/** Creates the function that returns the entries in the order in which they may take a shard over; it sorts only after the list has changed. */
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
