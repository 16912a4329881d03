/**
Counts in how many replica groups each disk is, including the lists that a change
leads to.
*/
import type {HolderList} from './holder-list.js';
import {listAllHolders} from './list-all-holders.js';

/** Returns the counts by disk id; disks in no group are missing. */
export const countGroupsByDisk = (lists: Iterable<HolderList>): Map<string, number> => {
	const counts = new Map<string, number>();
	for (const list of lists) {
		for (const {diskId} of listAllHolders(list)) {
			counts.set(diskId, (counts.get(diskId) ?? 0) + 1);
		}
	}

	return counts;
};
