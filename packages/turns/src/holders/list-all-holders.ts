/**
Everybody who is asked under a list.
*/
import type {Holder} from './holder.js';
import type {HolderList} from './holder-list.js';

/** Each holder of either list once. */
export const listAllHolders = ({current, next = []}: HolderList): readonly Holder[] => {
	const known = new Set(current.map(({diskId}) => diskId));
	return [...current, ...next.filter(({diskId}) => !known.has(diskId))];
};
