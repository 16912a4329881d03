/**
Reads the lists of the replica groups as a client knows them: the declared ones,
or newer ones that a holder sent in an answer.
*/
import type {GroupId} from '../membership/group-id.js';
import type {HolderList} from '../membership/holder-list.js';

export const createListReader = (readDeclared: (group: GroupId) => HolderList | undefined) => {
	const adopted = new Map<GroupId, HolderList>();
	return {
		read(group: GroupId): HolderList | undefined {
			const declared = readDeclared(group);
			const reported = adopted.get(group);
			return reported && reported.version > (declared?.version ?? 0) ? reported : declared;
		},
		adopt(group: GroupId, list: HolderList): void {
			adopted.set(group, list);
		},
	};
};
