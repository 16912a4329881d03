/**
Has the holders of changing replica groups copy what they lack, some groups at the
same time, and remembers which groups have done so: their next lists can be
written as soon as the platform's service answers.
*/
import type {GroupId} from '../membership/group-id.js';
import type {GroupProposal} from '../membership/group-proposal.js';
import type {HolderList} from '../membership/holder-list.js';
import type {planGroupChanges} from '../membership/plan-group-changes.js';
import {completeGroupChange} from './complete-group-change.js';
import type {HolderOptions} from './holder-options.js';

type Completion = ReturnType<typeof planGroupChanges>['completions'][number];

/** Bounds how much is copied at the same time, beside the requests. */
const MAX_ACTIVE = 8;

export const createGroupCompleter = (options: HolderOptions) => {
	const active = new Set<GroupId>();
	// Versions of the joint lists under which the group's holders have copied everything; later writes reach the old and the new holders.
	const copiedVersions = new Map<GroupId, number>();

	const copy = async ({group, copying}: Completion, joint: HolderList): Promise<void> => {
		active.add(group);
		try {
			if (await completeGroupChange(options, {group, list: joint, copying})) {
				copiedVersions.set(group, joint.version);
			}
		} catch (error) {
			options.log.error('failed to copy the records of a replica group; trying again', {group, reason: String(error)});
		}

		active.delete(group);
	};

	/** Starts what is still to be copied, without waiting for it, and returns the lists that may be written now. `lists` holds the joint lists. */
	return (completions: readonly Completion[], lists: ReadonlyMap<GroupId, HolderList>): readonly GroupProposal[] => {
		const ready: GroupProposal[] = [];
		for (const completion of completions) {
			const {group, list} = completion;
			const joint = lists.get(group)!;
			if (copiedVersions.get(group) === joint.version) {
				ready.push({group, list, reason: 'the new holders have copied everything'});
			} else if (!active.has(group) && active.size < MAX_ACTIVE) {
				void copy(completion, joint);
			}
		}

		return ready;
	};
};
