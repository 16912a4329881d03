/**
Moves one place in a replica group from the disk that serves the most groups to
one that serves hardly any, such as a disk that was added or was away while its
groups were moved.

Expected load: holders come and go for weeks. Without this step the oldest disks
would serve all groups, since a healthy group never changes by itself. A data centre that is
extended gets many empty disks at once; a place moves there only if its group still
outlasts the loss of that data centre.
*/
import {countCrowded} from './count-crowded.js';
import type {GroupId} from './group-id.js';
import type {GroupProposal} from './group-proposal.js';
import type {Holder} from './holder.js';
import type {HolderList} from './holder-list.js';
import type {PlannerView} from './planner-view.js';

/** A disk with less than this share of the mean number of groups takes another one. */
const MIN_SHARE = 0.5;

const findUnderused = ({candidates, groupsByDisk}: PlannerView): Holder | undefined => {
	const counts = candidates.map(holder => ({holder, groups: groupsByDisk.get(holder.diskId) ?? 0})).toSorted((a, b) => a.groups - b.groups);
	const mean = counts.reduce((sum, {groups}) => sum + groups, 0) / Math.max(1, counts.length);
	const [least] = counts;
	return least && least.groups + 1 <= mean * MIN_SHARE ? least.holder : undefined;
};

/** Returns one proposal, or none if a group is changing, a member is not reachable, or the disks are balanced. */
export const decideRebalance = (view: PlannerView, lists: ReadonlyMap<GroupId, HolderList>): GroupProposal | undefined => {
	const {reachable, groupsByDisk, losses} = view;
	const isQuiet = [...lists.values()].every(({current, next}) => !next && current.every(({diskId}) => reachable.has(diskId)));
	const joining = isQuiet ? findUnderused(view) : undefined;
	if (!joining) {
		return undefined;
	}

	const [place] = [...lists]
		.filter(([, {current}]) => current.every(({host}) => host !== joining.host))
		.flatMap(([group, list]) => list.current.map(member => ({
			group, list, member, next: [...list.current.filter(holder => holder !== member), joining],
		})))
		.filter(({list, next}) => countCrowded(next, losses) <= countCrowded(list.current, losses))
		.toSorted((a, b) => (groupsByDisk.get(b.member.diskId) ?? 0) - (groupsByDisk.get(a.member.diskId) ?? 0)
			|| Number(b.member.dataCentre === joining.dataCentre) - Number(a.member.dataCentre === joining.dataCentre));
	if (!place) {
		return undefined;
	}

	const {group, list: {version, current}, next} = place;
	return {group, list: {version: version + 1, current, next}, reason: 'a disk serves far fewer groups than the others'};
};
