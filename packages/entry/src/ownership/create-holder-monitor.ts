/**
Detects when a shard has fewer usable history holders than it could have.
*/
import {countWriteQuorum} from '@siskinhub/core/owner/count-write-quorum.js';
import type {HistoryHolder} from '@siskinhub/core/owner/history-holder.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {ShardOwner} from '../owner/shard-owner.js';

const COPIES = 3;
/** Polls without a write quorum after which the shard gets other holders; no turn can be stored meanwhile. */
const POLLS_WITHOUT_QUORUM = 4;
/** Polls with a missing copy after which the shard gets other holders; a host that restarts is back sooner. */
const POLLS_WITH_MISSING_COPY = 20;

type MonitorOptions = {
	/** Whether the holder answers and still has the folder that the shard's log names. */
	readonly isUsable: (holder: HistoryHolder) => boolean;
	/** Counts the reachable entries that have a data folder. */
	readonly countCandidates: () => number;
};

/** Creates a function that is called at each poll for each owned shard and returns whether its holders must be replaced. */
export const createHolderMonitor = ({isUsable, countCandidates}: MonitorOptions) => {
	const degradedPolls = new Map<ShardId, number>();

	return ({shard, holders}: ShardOwner): boolean => {
		const usableCopies = holders.filter(holder => isUsable(holder)).length;
		const quorum = countWriteQuorum(holders.length);
		const attainableCopies = Math.min(COPIES, countCandidates());
		if (usableCopies >= attainableCopies && usableCopies >= quorum) {
			degradedPolls.delete(shard);
			return false;
		}

		const polls = (degradedPolls.get(shard) ?? 0) + 1;
		degradedPolls.set(shard, polls);
		const maxPolls = usableCopies < quorum ? POLLS_WITHOUT_QUORUM : POLLS_WITH_MISSING_COPY;
		if (polls < maxPolls) {
			return false;
		}

		degradedPolls.delete(shard);
		return true;
	};
};
