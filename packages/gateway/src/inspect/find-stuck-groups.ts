/**
Finds the replica groups that cannot serve: fewer of their disks answer than a read
needs, so turns of their programs are refused, and no holder changes their lists
until enough are back.
*/
import {countQuorum} from '@siskinhub/turns/membership/count-quorum.js';
import type {GroupId} from '@siskinhub/turns/membership/group-id.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import type {SystemState} from './system-state.js';

type StuckGroup = {
	readonly group: GroupId;
	/** Version of the group's list. */
	readonly version: number;
	/** The disks that do not answer, or whose address answers for another disk. */
	readonly missing: readonly Holder[];
	/** How many more of them must answer. */
	readonly needed: number;
};

/** `losses` is the number of disks that may be lost at once. While a list changes, the old members and the new ones each need a quorum. */
export const findStuckGroups = ({groups, members}: Pick<SystemState, 'groups' | 'members'>, losses: number): readonly StuckGroup[] => {
	const answering = new Set(members.map(({diskId}) => diskId));
	return groups.flatMap(({group, version, current, next}) => {
		const short = [current, ...(next ? [next] : [])].map(holders => {
			const missing = holders.filter(({diskId}) => !answering.has(diskId));
			return {missing, needed: countQuorum(holders.length, losses).read - (holders.length - missing.length)};
		}).find(({needed}) => needed > 0);
		return short ? [{group, version, ...short}] : [];
	});
};
