/**
Chooses the disks that fill up a replica group.

Expected load: every turn of a program is written to a majority of its group, and
a whole data centre may fail. So the members stand in as many data centres as
there are, which also puts one of them near most callers, and every disk serves
about as many groups as the others.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import type {GroupId} from './group-id.js';
import type {Holder} from './holder.js';

type GroupState = {
	readonly group: GroupId;
	/** Members that stay. */
	readonly kept: readonly Holder[];
	/** Disks that may be added; members among them are ignored. */
	readonly candidates: readonly Holder[];
	/** How many members the group should have. */
	readonly size: number;
	/** In how many groups each disk is, by its id. */
	readonly groupsByDisk: ReadonlyMap<string, number>;
};

/** Returns `kept` and the chosen disks; fewer than `size` if there are not enough candidates. */
export const chooseMembers = ({group, kept, candidates, size, groupsByDisk}: GroupState): readonly Holder[] => {
	const members = [...kept];
	while (members.length < size) {
		const countNear = ({dataCentre}: Holder): number => members.filter(member => member.dataCentre === dataCentre).length;
		const [chosen] = candidates
			.filter(({host, diskId}) => members.every(member => member.host !== host && member.diskId !== diskId))
			.map(holder => ({
				holder, near: countNear(holder), groups: groupsByDisk.get(holder.diskId) ?? 0, order: hashPair(String(group), holder.diskId),
			}))
			.toSorted((a, b) => a.near - b.near || a.groups - b.groups || a.order - b.order);
		if (!chosen) {
			break;
		}

		members.push(chosen.holder);
	}

	return members;
};
