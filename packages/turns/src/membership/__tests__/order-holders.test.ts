import {create} from '@bufbuild/protobuf';
import {HelloSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {describe, expect, it} from 'vitest';
import {countFirstAsked} from '../count-first-asked.js';
import {countQuorum} from '../count-quorum.js';
import {hasQuorum} from '../has-quorum.js';
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
const countByDisk = (holders: readonly Holder[], dataCentres: number): ReadonlyMap<string, number> => {
	const lists = planLists(holders);
	const asked = new Map<string, number>(holders.map(({diskId}) => [diskId, 0]));
	for (const [index] of listGroups().entries()) {
		const {current} = lists[index]!;
		for (let program = 0; program < PROGRAMS_PER_GROUP; program++) {
			const ordered = orderHolders({version: 1, current}, {
				getRemote: ({diskId, dataCentre}) => create(HelloSchema, {dataFolderId: diskId, dataCentre}),
				dataCentre: `z${program % dataCentres}`,
				program: `p${index}-${program}`,
				losses: LOSSES,
			});
			for (const {diskId} of ordered.slice(0, countQuorum(current.length, LOSSES).write)) {
				asked.set(diskId, asked.get(diskId)! + 1);
			}
		}
	}

	return asked;
};

/** Returns how often the busiest disk is asked by the mean of all. */
const measureBusiest = (disksByDataCentre: readonly number[]): number => {
	const asked = [...countByDisk(createHolders(disksByDataCentre), disksByDataCentre.length).values()];
	return Math.max(...asked) / (asked.reduce((sum, count) => sum + count, 0) / asked.length);
};

describe('orderHolders', () => {
	it('asks the disks of data centres about equally often that have about as many', () => {
		expect(measureBusiest([4, 4, 3])).toBeLessThanOrEqual(MAX_SHARE);
	});

	// Guards against SHORT: the only disk of a data centre was in every group, was asked 1.6 times as often as the others, and all turns waited for it.
	it('asks the disks of data centres of two, and of one disk, about equally often', () => {
		expect(measureBusiest([2, 2, 2, 1, 1])).toBeLessThanOrEqual(MAX_SHARE);
	});

	it('leaves a majority of each group to the other data centres', () => {
		for (const {current} of planLists(createHolders([2, 2, 2, 1, 1]))) {
			const inDataCentre = (name: string): number => current.filter(({dataCentre}) => dataCentre === name).length;
			expect(Math.max(...current.map(({dataCentre}) => inDataCentre(dataCentre)))).toBeLessThanOrEqual(LOSSES);
		}
	});

	const order = (dataCentre: string, program: string, isReachable = (_holder: Holder): boolean => true) => orderHolders({version: 1, current: createHolders([1, 1, 1, 1, 1])}, {
		getRemote: holder => isReachable(holder) ? create(HelloSchema, {dataFolderId: holder.diskId, dataCentre: holder.dataCentre}) : undefined, dataCentre, program, losses: LOSSES,
	});

	// Guards against SHORT: each process preferred the disk next to it, which lacked what turns had written that came through other data centres.
	it('asks the same disks for a program from every data centre, the near one of them first', () => {
		for (const program of Array.from({length: 40}, (_, index) => `p${index}`)) {
			const expected = new Set(order('elsewhere', program).slice(0, 3));
			for (const dataCentre of ['z0', 'z1', 'z2', 'z3', 'z4']) {
				const first = order(dataCentre, program).slice(0, 3);
				expect(new Set(first)).toEqual(expected);
				const near = first.findIndex(holder => holder.dataCentre === dataCentre);
				expect(near).toBeLessThanOrEqual(0);
			}
		}
	});

	// Guards against SHORT: after the loss of disks each turn was sent to all holders of both lists, twice as many, for as long as these were busy with it.
	it.each([
		['one member is replaced', [0, 1, 2, 3, 4], [0, 1, 2, 3, 5], 3],
		['two members are replaced', [0, 1, 2, 3, 4], [0, 1, 2, 5, 6], 3],
		['three members are replaced', [0, 1, 2, 3, 4], [0, 1, 5, 6, 7], 6],
	])('asks first as few as are a quorum of both lists while %s', (_name, current, next, expected) => {
		const holders = createHolders([2, 2, 2, 1, 1]);
		const list = {version: 2, current: current.map(index => holders[index]!), next: next.map(index => holders[index]!)};
		for (const program of Array.from({length: 40}, (_, index) => `p${index}`)) {
			const ordered = orderHolders(list, {
				getRemote: ({diskId, dataCentre}) => create(HelloSchema, {dataFolderId: diskId, dataCentre}), dataCentre: 'z0', program, losses: LOSSES,
			});
			const count = countFirstAsked(list, ordered, LOSSES);
			expect(count).toBeLessThanOrEqual(expected);
			expect(hasQuorum(list, 'write', new Set(ordered.slice(0, count).map(({diskId}) => diskId)), LOSSES)).toBe(true);
		}
	});

	it('asks first those that can be reached while the list is changing, also if they are in one list only', () => {
		const holders = createHolders([2, 2, 2]);
		const list = {version: 2, current: holders.slice(0, 5), next: holders.slice(1, 6)};
		const isUp = ({diskId}: Holder): boolean => diskId !== holders[1]!.diskId && diskId !== holders[2]!.diskId;
		const ordered = orderHolders(list, {
			getRemote: ({diskId, dataCentre, ...holder}) => isUp({diskId, dataCentre, ...holder}) ? create(HelloSchema, {dataFolderId: diskId, dataCentre}) : undefined, dataCentre: 'z0', program: 'p', losses: LOSSES,
		});
		expect(ordered.slice(0, 4).every(holder => isUp(holder))).toBe(true);
		expect(countFirstAsked(list, ordered, LOSSES)).toBe(4);
	});

	it('asks others instead of those that cannot be reached', () => {
		const [lost] = order('z0', 'p');
		const ordered = order('z0', 'p', holder => holder.diskId !== lost!.diskId);
		expect(ordered.slice(0, 3).map(({diskId}) => diskId)).not.toContain(lost!.diskId);
		expect(ordered.at(-1)?.diskId).toBe(lost!.diskId);
	});
});
