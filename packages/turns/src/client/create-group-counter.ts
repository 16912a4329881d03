/**
Counts in how many replica groups each disk is, from the lists that this process
knows.
*/
import {countGroupsByDisk} from '../membership/count-groups-by-disk.js';
import type {GroupId} from '../membership/group-id.js';
import type {HolderList} from '../membership/holder-list.js';
import {listGroups} from '../membership/list-groups.js';

/** Lists change when disks are added, lost or replaced; counting them for each request would cost more than the answer is worth. */
const MAX_AGE_MS = 1000;

export const createGroupCounter = (readList: (group: GroupId) => HolderList | undefined) => {
	let counts: ReadonlyMap<string, number> = new Map();
	let countedAt = -Infinity;

	/** Returns a count that may be a second old; 0 for a disk in no group. */
	return (diskId: string): number => {
		if (performance.now() - countedAt > MAX_AGE_MS) {
			counts = countGroupsByDisk(listGroups().map(group => readList(group)).filter(list => list !== undefined));
			countedAt = performance.now();
		}

		return counts.get(diskId) ?? 0;
	};
};
