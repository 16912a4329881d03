/**
Plans and carries out changes of the replica groups while this holder is the
planner.
*/
import {choosePlanner} from '../membership/choose-planner.js';
import type {GroupId} from '../membership/group-id.js';
import type {Holder} from '../membership/holder.js';
import type {HolderList} from '../membership/holder-list.js';
import {listAllHolders} from '../membership/list-all-holders.js';
import {planGroupChanges} from '../membership/plan-group-changes.js';
import {createGroupCompleter} from './create-group-completer.js';
import {createListWriter} from './create-list-writer.js';
import {createReachabilityTracker} from './create-reachability-tracker.js';
import {createSettledCheck} from './create-settled-check.js';
import type {HolderOptions} from './holder-options.js';

const listMembers = (lists: ReadonlyMap<GroupId, HolderList>): readonly Holder[] => {
	const byDisk = new Map([...lists.values()].flatMap(list => listAllHolders(list)).map(holder => [holder.diskId, holder]));
	return [...byDisk.values()];
};

export const createGroupPlanner = (options: HolderOptions) => {
	const {registry, listRetiring, onRetiring, losses, log} = options;
	const tracker = createReachabilityTracker(options);
	const isSettled = createSettledCheck(registry);
	const writeLists = createListWriter(registry, log);
	const completeGroups = createGroupCompleter(options);

	const reportRetiring = (members: readonly Holder[]): void => {
		for (const host of listRetiring()) {
			onRetiring(host, members.every(holder => holder.host !== host));
		}
	};

	const forgetLost = async (lost: ReadonlySet<string>, members: readonly Holder[]): Promise<void> => {
		const gone = registry.listDisks().find(({diskId}) => lost.has(diskId) && members.every(holder => holder.diskId !== diskId));
		if (gone) {
			await registry.forget(gone);
			log.info('registration of a lost disk removed', {diskId: gone.diskId, host: gone.host});
		}
	};

	return {
		/** Must be called regularly; does the next step if this holder is the planner. `lists` holds the list of each group that has one. */
		async plan(lists: ReadonlyMap<GroupId, HolderList>): Promise<void> {
			const areDisksSettled = isSettled();
			const disks = registry.listDisks();
			if (choosePlanner(disks, tracker.check, losses) !== options.self.diskId) {
				return;
			}

			const members = listMembers(lists);
			const {reachable, lost} = tracker.checkAll([...disks, ...members]);
			const retiring = listRetiring();
			const {proposals, completions} = planGroupChanges({
				candidates: disks.filter(({diskId, host}) => reachable.has(diskId) && !retiring.has(host)), reachable, lost, retiring, losses,
			}, lists);
			await writeLists([...completeGroups(completions, lists), ...proposals.filter(({list}) => list.version > 1 || areDisksSettled)]);
			reportRetiring(members);
			await forgetLost(lost, members);
		},
	};
};
