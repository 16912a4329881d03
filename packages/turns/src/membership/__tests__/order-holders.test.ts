import {create} from '@bufbuild/protobuf';
import {HelloSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {describe, expect, it} from 'vitest';
import {countGroupsByDisk} from '../count-groups-by-disk.js';
import {countQuorum} from '../count-quorum.js';
import type {Holder} from '../holder.js';
import {listGroups} from '../list-groups.js';
import {orderHolders} from '../order-holders.js';
import {planGroupChanges} from '../plan-group-changes.js';

const LOSSES = 2;
const PROGRAMS_PER_GROUP = 60;
/** A disk that is asked more often than the others is full before them, and every quorum with it then waits. */
const MAX_SHARE = 1.25;

const createHolders = (disksByDataCentre: readonly number[]): Holder[] => disksByDataCentre.flatMap((count, dataCentre) => Array.from({length: count}, (_, index) => ({
	diskId: `disk-${dataCentre}-${index}`, host: `host-${dataCentre}-${index}`, address: `http://${dataCentre}.${index}`, dataCentre: `z${dataCentre}`,
})));

const planLists = (holders: readonly Holder[]) => planGroupChanges({
	candidates: holders, reachable: new Set(holders.map(({diskId}) => diskId)), lost: new Set(), retiring: new Set(), losses: LOSSES,
}, new Map()).proposals.map(({list}) => list);

/** Returns how often each disk is among the first of a write, with gateways in all data centres. */
const countFirstAsked = (holders: readonly Holder[], dataCentres: number): ReadonlyMap<string, number> => {
	const lists = planLists(holders);
	const groups = countGroupsByDisk(lists);
	const asked = new Map<string, number>(holders.map(({diskId}) => [diskId, 0]));
	for (const [index] of listGroups().entries()) {
		const {current} = lists[index]!;
		for (let program = 0; program < PROGRAMS_PER_GROUP; program++) {
			const ordered = orderHolders(current, {
				getRemote: ({diskId, dataCentre}) => create(HelloSchema, {dataFolderId: diskId, dataCentre}),
				countGroups: diskId => groups.get(diskId) ?? 0,
				dataCentre: `z${program % dataCentres}`,
				program: `p${index}-${program}`,
			});
			for (const {diskId} of ordered.slice(0, countQuorum(current.length, LOSSES).write)) {
				asked.set(diskId, asked.get(diskId)! + 1);
			}
		}
	}

	return asked;
};

describe('orderHolders', () => {
	// Guards against SHORT: the only disk of a data centre was in every group, was asked 1.8 times as often as the others, and all turns waited for it.
	it.each([
		[[2, 2, 2, 1, 1]], [[3, 2, 2, 1, 1]], [[2, 2, 1, 1, 1]], [[4, 4, 3]],
	])('asks the disks of unequal data centres about equally often: %j', disksByDataCentre => {
		const holders = createHolders(disksByDataCentre);
		const asked = [...countFirstAsked(holders, disksByDataCentre.length).values()];
		const mean = asked.reduce((sum, count) => sum + count, 0) / asked.length;
		expect(Math.max(...asked) / mean).toBeLessThanOrEqual(MAX_SHARE);
	});

	it('asks the near disk first where all disks serve as many groups', () => {
		const [near, ...others] = createHolders([1, 1, 1]);
		const ordered = orderHolders([...others, near!], {
			getRemote: ({diskId, dataCentre}) => create(HelloSchema, {dataFolderId: diskId, dataCentre}), countGroups: () => 32, dataCentre: 'z0', program: 'p',
		});
		expect(ordered[0]).toBe(near);
	});
});
