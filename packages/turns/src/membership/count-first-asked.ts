/**
Counts how many holders a write asks at once.

Expected load: while a list is changing, which takes seconds after a disk was lost,
each turn of the group needs a quorum of both lists. Most holders are in both, so
the same few answers are mostly enough for both; to ask all of them would double the
work of the holders just when they copy.
*/
import {hasQuorum} from './has-quorum.js';
import type {Holder} from './holder.js';
import type {HolderList} from './holder-list.js';

/** The first holders of `ordered` that are a write quorum of the list, and of the next one while it is changing; all if there are too few. */
export const countFirstAsked = (list: HolderList, ordered: readonly Holder[], losses: number): number => {
	const asked = new Set<string>();
	for (const {diskId} of ordered) {
		asked.add(diskId);
		if (hasQuorum(list, 'write', asked, losses)) {
			break;
		}
	}

	return asked.size;
};
