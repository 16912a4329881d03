import type {GroupId} from '@siskinhub/turns/membership/group-id.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import {describe, expect, it} from 'vitest';
import {findStuckGroups} from '../find-stuck-groups.js';

const LOSSES = 1;
const holder = (name: string): Holder => ({
	diskId: `disk-${name}`, host: name, address: `http://${name}`, dataCentre: 'd',
});
const [a, b, c, d] = ['a', 'b', 'c', 'd'].map(name => holder(name)) as [Holder, Holder, Holder, Holder];
const group = 7 as GroupId;
const answer = ({address, diskId}: Holder) => ({address, diskId});

describe('findStuckGroups', () => {
	it('finds nothing while each group has a read quorum', () => {
		const groups = [{group, version: 3, current: [a, b, c]}];
		expect(findStuckGroups({groups, members: [answer(a), answer(c), {address: b.address}]}, LOSSES)).toEqual([]);
	});

	// Guards against RECOVER: nothing named the group that had lost its quorum, nor whose answer was missing.
	it('names the disks that do not answer, also where another disk answers at the address', () => {
		const groups = [{group, version: 3, current: [a, b, c]}];
		const members = [answer(a), {address: b.address}, {address: c.address, diskId: 'a new disk'}];
		expect(findStuckGroups({groups, members}, LOSSES)).toEqual([{
			group, version: 3, missing: [b, c], needed: 1,
		}]);
	});

	it('needs a quorum of the old and of the new members while a list changes', () => {
		const groups = [{
			group, version: 4, current: [a, b, c], next: [c, d],
		}];
		expect(findStuckGroups({groups, members: [answer(a), answer(b)]}, LOSSES)).toEqual([{
			group, version: 4, missing: [c, d], needed: 1,
		}]);
	});
});
