/**
Lists the holders that take part in operations under a list.
*/
import type {Holder} from '../membership/holder.js';
import type {HolderList} from '../membership/holder-list.js';

/** Returns each holder of `current` and `next` once. */
export const listAllHolders = ({current, next = []}: HolderList): readonly Holder[] => {
	const known = new Set(current.map(({diskId}) => diskId));
	return [...current, ...next.filter(({diskId}) => !known.has(diskId))];
};
