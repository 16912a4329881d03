/**
Interface to the registered disks and the lists of the replica groups in the
platform's service. Each disk and each group is one key.
*/
import type {GroupId} from '../membership/group-id.js';
import type {GroupProposal} from '../membership/group-proposal.js';
import type {Holder} from '../membership/holder.js';
import type {HolderList} from '../membership/holder-list.js';

/** Reads return the newest state that this process knows. */
export type HolderRegistry = {
	readonly readList: (group: GroupId) => HolderList | undefined;
	/** Writes the lists by compare-and-swap, all or none. Resolves to whether it took effect; `false` also if the platform's service did not answer. */
	readonly swap: (proposals: ReadonlyArray<Pick<GroupProposal, 'group' | 'list'>>) => Promise<boolean>;
	readonly listDisks: () => readonly Holder[];
	/** Adds the disk to the registered ones. Resolves to whether it was written. */
	readonly register: (holder: Holder) => Promise<boolean>;
	/** Removes a disk that is gone. A disk that was removed by mistake registers again. */
	readonly forget: (holder: Holder) => Promise<void>;
	/** Whether the declared state has been read at all; before that, a missing list does not mean that there is none. */
	readonly isLoaded: () => boolean;
};
