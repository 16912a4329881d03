/**
Decides which entry hosts keep a shard's histories after a takeover.
*/
import type {HistoryHolder} from '@siskinhub/core/owner/history-holder.js';
import type {ShardLogState} from '@siskinhub/core/owner/shard-log-state.js';

type HolderSets = Pick<ShardLogState, 'holders' | 'sources'>;

const isSameHolder = (a: HistoryHolder, b: HistoryHolder): boolean => a.host === b.host && a.dataFolderId === b.dataFolderId;

/**
Keeps the holders if all of them can be reached and no more are available. Otherwise
fills up from `available`, and the earlier holders become sources to copy from.
*/
export const updateHolderSets = (before: HolderSets, available: readonly HistoryHolder[]): HolderSets => {
	const kept = before.holders.filter(holder => available.some(other => isSameHolder(other, holder)));
	if (kept.length > 0 && kept.length === before.holders.length && kept.length >= available.length) {
		return before;
	}

	const added = available.filter(holder => !kept.some(other => isSameHolder(other, holder)));
	return {
		holders: [...kept, ...added].slice(0, Math.max(available.length, 1)),
		sources: [before.holders, ...before.sources].filter(group => group.length > 0),
	};
};
