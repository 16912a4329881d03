/**
Plans the changes of all replica groups in one step, so that one process proposes
them together instead of each holder proposing its own.
*/
import type {Holder} from './holder.js';
import {countGroupsByDisk} from './count-groups-by-disk.js';
import {decideGroupChange} from './decide-group-change.js';
import {decideRebalance} from './decide-rebalance.js';
import type {GroupId} from './group-id.js';
import type {GroupProposal} from './group-proposal.js';
import type {HolderList} from './holder-list.js';
import {listAllHolders} from './list-all-holders.js';
import {listGroups} from './list-groups.js';
import type {PlannerView} from './planner-view.js';

type GroupCompletion = {readonly group: GroupId; readonly copying: readonly Holder[]; readonly list: HolderList};

/** `proposals` are written as they are; each of `completions` first needs its disks to copy. */
type Plan = {readonly proposals: readonly GroupProposal[]; readonly completions: readonly GroupCompletion[]};

/** `lists` holds the list of each group that has one. */
export const planGroupChanges = (view: Omit<PlannerView, 'groupsByDisk'>, lists: ReadonlyMap<GroupId, HolderList>): Plan => {
	const proposals: GroupProposal[] = [];
	const completions: GroupCompletion[] = [];
	const groupsByDisk = countGroupsByDisk(lists.values());
	for (const group of listGroups()) {
		const held = lists.get(group);
		const change = decideGroupChange({...view, groupsByDisk}, group, held);
		if (change.kind === 'complete') {
			completions.push({group, copying: change.copying, list: change.list});
		} else if (change.kind === 'propose') {
			proposals.push({group, list: change.list, reason: change.reason});
			const before = new Set(held ? listAllHolders(held).map(({diskId}) => diskId) : []);
			for (const {diskId} of listAllHolders(change.list).filter(holder => !before.has(holder.diskId))) {
				groupsByDisk.set(diskId, (groupsByDisk.get(diskId) ?? 0) + 1);
			}
		}
	}

	if (proposals.length + completions.length === 0) {
		const proposal = decideRebalance({...view, groupsByDisk}, lists);
		return {proposals: proposal ? [proposal] : [], completions};
	}

	return {proposals, completions};
};
