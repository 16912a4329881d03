/**
Checks whether the holders that answered form a quorum of the current list and,
while the list is changing, of the next one too.
*/
import {countQuorum} from '../membership/count-quorum.js';
import type {HolderList} from './holder-list.js';

/** `answered` holds the disk ids of the holders that answered under exactly this version of the list. */
export const hasQuorum = (list: HolderList, kind: 'read' | 'write', answered: ReadonlySet<string>, losses: number): boolean =>
	[list.current, ...(list.next ? [list.next] : [])].every(holders => {
		const count = holders.filter(({diskId}) => answered.has(diskId)).length;
		return count >= countQuorum(holders.length, losses)[kind];
	});
