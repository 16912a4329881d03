/**
Chooses the entry hosts that keep copies of a shard's histories.
*/
import type {HistoryHolder} from '@siskinhub/core/owner/history-holder.js';

type Candidate = HistoryHolder & {readonly dataCentre: string};

const COPIES = 3;

/** Returns up to three holders, in different data centres where possible; `ranked` gives the order of preference. */
export const chooseHolders = (ranked: readonly Candidate[]): readonly HistoryHolder[] => {
	const chosen: Candidate[] = [];
	for (const candidate of ranked) {
		if (!chosen.some(other => other.dataCentre === candidate.dataCentre)) {
			chosen.push(candidate);
		}
	}

	for (const candidate of ranked) {
		if (!chosen.includes(candidate)) {
			chosen.push(candidate);
		}
	}

	return chosen.slice(0, COPIES).map(({host, peerAddress, dataFolderId}) => ({host, peerAddress, dataFolderId}));
};
