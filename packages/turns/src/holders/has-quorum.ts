/**
Whether the holders that answered suffice, in every list that counts.
*/
import {countQuorum} from './count-quorum.js';
import type {HolderList} from './holder-list.js';

/** `answered` has the disk ids of the holders that answered under this very version of the list. */
export const hasQuorum = (list: HolderList, kind: 'read' | 'write', answered: ReadonlySet<string>, losses: number): boolean =>
	[list.current, ...(list.next ? [list.next] : [])].every(holders => {
		const count = holders.filter(({diskId}) => answered.has(diskId)).length;
		return count >= countQuorum(holders.length, losses)[kind];
	});
