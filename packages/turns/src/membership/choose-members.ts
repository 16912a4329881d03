/**
Chooses the disks that fill up a replica group.

Expected load: every turn of a program is written to a majority of its group, and
a whole data centre may fail. So the members stand in as many data centres as
there are, which also puts one of them near most callers, and every disk serves
about as many groups as the others. Data centres have unequal numbers of disks:
where only one is left that serves more groups than the others already, a second
disk of another data centre is taken, since a busy disk delays all its groups. A
majority outlasts each data centre as long as none has more members than may be lost.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import type {GroupId} from './group-id.js';
import type {Holder} from './holder.js';

/** By the mean number of groups; a disk above it is taken only if there is no other. */
const MAX_SHARE = 1.15;

type GroupState = {
	readonly group: GroupId;
	/** Members that stay. */
	readonly kept: readonly Holder[];
	/** Disks that may be added; members among them are ignored. */
	readonly candidates: readonly Holder[];
	/** How many members the group should have. */
	readonly size: number;
	/** How many members may be lost at the same time. */
	readonly losses: number;
	/** In how many groups each disk is, by its id. */
	readonly groupsByDisk: ReadonlyMap<string, number>;
};

/** Returns `kept` and the chosen disks; fewer than `size` if there are not enough candidates. */
export const chooseMembers = ({group, kept, candidates, size, losses, groupsByDisk}: GroupState): readonly Holder[] => {
	const members = [...kept];
	const countGroups = ({diskId}: Holder): number => groupsByDisk.get(diskId) ?? 0;
	const meanGroups = candidates.reduce((sum, holder) => sum + countGroups(holder), 0) / candidates.length;
	const isBusy = (holder: Holder): boolean => countGroups(holder) > (meanGroups * MAX_SHARE) + 1;
	while (members.length < size) {
		const countNear = ({dataCentre}: Holder): number => members.filter(member => member.dataCentre === dataCentre).length;
		const [chosen] = candidates
			.filter(({host, diskId}) => members.every(member => member.host !== host && member.diskId !== diskId))
			.map(holder => ({
				holder, isCrowded: countNear(holder) >= losses, isBusy: isBusy(holder), near: countNear(holder), groups: countGroups(holder), order: hashPair(String(group), holder.diskId),
			}))
			.toSorted((a, b) => Number(a.isCrowded) - Number(b.isCrowded) || Number(a.isBusy) - Number(b.isBusy) || a.near - b.near || a.groups - b.groups || a.order - b.order);
		if (!chosen) {
			break;
		}

		members.push(chosen.holder);
	}

	return members;
};
