/**
Decides how the list of one replica group changes: its first members, which disk
replaces a lost one or one whose host is being retired, and when a change is
complete.

Every change goes through a list with `next`: operations need a quorum of both
the old and the new holders until the new ones have copied what the old ones
have. Nothing is decided for a group of which no read quorum is reachable, so a
host that is cut off removes no holder.
*/
import {chooseMembers} from './choose-members.js';
import {countGroupSize} from './count-group-size.js';
import {countQuorum} from './count-quorum.js';
import type {GroupChange} from './group-change.js';
import type {GroupId} from './group-id.js';
import type {Holder} from './holder.js';
import type {HolderList} from './holder-list.js';
import type {PlannerView} from './planner-view.js';

const NONE: GroupChange = {kind: 'none'};

/** A read quorum overlaps every write quorum, so its holders together have every write. */
const reachesReadQuorum = (holders: readonly Holder[], reachable: ReadonlySet<string>, losses: number): boolean =>
	holders.filter(({diskId}) => reachable.has(diskId)).length >= countQuorum(holders.length, losses).read;

const includes = (holders: readonly Holder[], {diskId}: Holder): boolean => holders.some(holder => holder.diskId === diskId);

const propose = ({version, current}: HolderList, next: readonly Holder[] | undefined, reason: string): GroupChange => ({
	kind: 'propose', list: {version: version + 1, current, ...(next && {next})}, reason,
});

const decidePendingChange = ({lost}: PlannerView, list: HolderList, next: readonly Holder[]): GroupChange => {
	if (next.some(({diskId}) => lost.has(diskId))) {
		return propose(list, undefined, 'the previous change is cancelled, since a disk that must copy is lost');
	}

	const added = next.filter(holder => !includes(list.current, holder));
	const isShrinking = list.current.some(holder => !includes(next, holder));
	return {kind: 'complete', copying: isShrinking ? next : added, list: {version: list.version + 1, current: next}};
};

const decideMembers = (view: PlannerView, group: GroupId, {current}: HolderList): readonly Holder[] => {
	const {candidates, lost, retiring, losses, groupsByDisk} = view;
	const kept = current.filter(({diskId, host}) => !lost.has(diskId) && !retiring.has(host));
	return chooseMembers({
		group, kept, candidates, size: countGroupSize(losses), losses, groupsByDisk,
	});
};

const decideReplacement = (view: PlannerView, group: GroupId, list: HolderList): GroupChange => {
	const {reachable, retiring, losses} = view;
	const members = decideMembers(view, group, list);
	const isGrowing = members.some(holder => !includes(list.current, holder));
	const isLeaving = list.current.some(({host}) => retiring.has(host));
	if (!isGrowing && !isLeaving) {
		return NONE;
	}

	const isSafe = members.length > losses && members.every(({diskId}) => reachable.has(diskId));
	return isSafe ? propose(list, members, isLeaving ? 'the disks of retiring hosts are replaced' : 'disks are added or replaced') : NONE;
};

const decideFirstMembers = ({candidates, losses, groupsByDisk}: PlannerView, group: GroupId): GroupChange => {
	const current = chooseMembers({
		group, kept: [], candidates, size: countGroupSize(losses), losses, groupsByDisk,
	});
	return current.length > losses ? {kind: 'propose', list: {version: 1, current}, reason: 'the group has no list yet'} : NONE;
};

/** Decides the next step for `group`, whose list is `list`; `undefined` if it has none yet. */
export const decideGroupChange = (view: PlannerView, group: GroupId, list: HolderList | undefined): GroupChange => {
	if (!list) {
		return decideFirstMembers(view, group);
	}

	if (!reachesReadQuorum(list.current, view.reachable, view.losses)) {
		return NONE;
	}

	return list.next ? decidePendingChange(view, list, list.next) : decideReplacement(view, group, list);
};
