/**
Replica groups on a large fleet: 24 holders in five data centres, of which two may
be lost at once.
*/
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {findGroup} from '../membership/find-group.js';
import {GROUP_COUNT} from '../membership/group-count.js';
import {advanceUntilSettled} from './advance-until-settled.js';
import {createFakeCluster} from './create-fake-cluster.js';

const HOLDERS = 24;
const DATA_CENTRES = ['z1', 'z2', 'z3', 'z4', 'z5'];
const RETENTION_MS = 600_000;
const SETTLE_TIME_MS = 8000;
const TIMEOUT_MS = 1500;
/** For so long a gateway has a request wait for its group's holders. */
const REQUEST_WAIT_MS = 1200;
const PROGRAMS = Array.from({length: 40}, (_, index) => `program-${index}`);

type Client = ReturnType<ReturnType<typeof createFakeCluster>['createClient']>;
type TurnContent = NonNullable<Parameters<Client['settle']>[1]>;

const bytes = (text: string) => new TextEncoder().encode(text);

const settle = async (client: Client, program: string, attempt: string, turn: Partial<Pick<TurnContent, 'previous' | 'ancestors' | 'isFromOtherGroup'>> = {}) => client.settle({
	program, attempt, tokens: 10, retentionMs: RETENTION_MS,
}, {
	previous: '', input: bytes(`in ${attempt};`), output: bytes(`out ${attempt};`), ancestors: [], isFromOtherGroup: false, ...turn,
}, TIMEOUT_MS);

const storeAll = async (client: Client) => advanceUntilSettled(Promise.all(PROGRAMS.map(async program => settle(client, program, `${program}-t1`))));

const readKinds = async (client: Client) => {
	const reads = await advanceUntilSettled(Promise.all(PROGRAMS.map(async program => client.readTurns(program, `${program}-t1`, TIMEOUT_MS))));
	return new Set(reads.map(({kind}) => kind));
};

const startFleet = async () => {
	const cluster = createFakeCluster(HOLDERS, {losses: 2, dataCentres: DATA_CENTRES});
	await vi.advanceTimersByTimeAsync(3000);
	return cluster;
};

describe('replica groups', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	it('are there within three seconds of a common start, after a few writes that all took effect', async () => {
		const cluster = await startFleet();
		expect(cluster.lists().size).toBe(GROUP_COUNT);
		expect(cluster.swaps).toEqual({taken: 2, refused: 0});
		for (const {current, next} of cluster.lists().values()) {
			expect(next).toBeUndefined();
			expect(new Set(current.map(({dataCentre}) => dataCentre)).size).toBe(5);
		}
	});

	// The planner ended between its two writes, 200 ms apart, right after the first start. Half of the groups had no list for 3 s, and calls of their programs were refused after 1.2 s.
	it('get their first lists all at once, so that a planner that ends then leaves none without', async () => {
		const cluster = createFakeCluster(3, {dataCentres: DATA_CENTRES});
		while (cluster.lists().size === 0) {
			await vi.advanceTimersByTimeAsync(1);
		}

		cluster.kill('h1');
		await vi.advanceTimersByTimeAsync(1);
		expect(cluster.lists().size).toBe(GROUP_COUNT);
	});

	// The same failure where a write of the planner was refused, or where it ended before its first one.
	it.each([0, 1])('get their first lists from another holder, before requests give up, if the planner ends after %i writes', async writes => {
		const cluster = createFakeCluster(3, {dataCentres: DATA_CENTRES});
		const client = cluster.createClient('g1');
		cluster.maxSwaps = writes;
		while (cluster.swaps.refused === 0) {
			await vi.advanceTimersByTimeAsync(1);
		}

		expect(cluster.lists().size).toBe(writes * 16);
		cluster.kill('h1');
		cluster.maxSwaps = Infinity;
		const results = await advanceUntilSettled(Promise.all(PROGRAMS.map(async program => client.reserve({
			program, attempt: 'a', tokens: 10, retentionMs: RETENTION_MS, budget: 1000,
		}, REQUEST_WAIT_MS))));
		expect(new Set(results)).toEqual(new Set(['reserved']));
		expect(cluster.lists().size).toBe(GROUP_COUNT);
	});

	// One of three holders registered 1.1 s after the others. The groups began with two members and were about to grow when one of these was stopped as planned; all calls were refused until it was back.
	it('begin with all members if one of the holders starts a second and a half later than the others', async () => {
		const cluster = createFakeCluster(2, {dataCentres: DATA_CENTRES});
		await vi.advanceTimersByTimeAsync(1500);
		cluster.add('h3');
		await vi.advanceTimersByTimeAsync(1500);
		expect(cluster.lists().size).toBe(GROUP_COUNT);
		expect([...cluster.lists().values()].filter(({version, current}) => version !== 1 || current.length !== 3)).toEqual([]);
	});

	it('begin without a holder that does not start', async () => {
		const cluster = createFakeCluster(2, {dataCentres: DATA_CENTRES});
		await vi.advanceTimersByTimeAsync(3000);
		expect(cluster.lists().size).toBe(GROUP_COUNT);
	});

	// Guards the mend of the failure of a planner that ends before its writes: a holder that writes first lists in the planner's stead must have links to all others by then.
	it('get first lists of full size from another holder if the planner of a large fleet ends', async () => {
		const cluster = createFakeCluster(HOLDERS, {losses: 2, dataCentres: DATA_CENTRES});
		cluster.maxSwaps = 0;
		while (cluster.swaps.refused === 0) {
			await vi.advanceTimersByTimeAsync(1);
		}

		const {refused} = cluster.swaps;
		cluster.kill('h1');
		cluster.maxSwaps = Infinity;
		await vi.advanceTimersByTimeAsync(REQUEST_WAIT_MS);
		expect(cluster.lists().size).toBe(GROUP_COUNT);
		expect(cluster.swaps.refused).toBe(refused);
		for (const {current} of cluster.lists().values()) {
			expect(new Set(current.map(({dataCentre}) => dataCentre)).size).toBe(5);
		}
	});

	it('need three messages for a reservation and three for a turn, however many holders there are', async () => {
		const cluster = await startFleet();
		const client = cluster.createClient('g1', 'z1');
		await storeAll(client);
		const before = cluster.requests;
		await advanceUntilSettled(client.reserve({
			program: 'program-1', attempt: 'a', tokens: 10, retentionMs: RETENTION_MS, budget: 1000,
		}, TIMEOUT_MS));
		expect(cluster.requests - before).toBe(3);
		await advanceUntilSettled(settle(client, 'program-1', 'a', {previous: 'program-1-t1'}));
		expect(cluster.requests - before).toBe(6);
		await advanceUntilSettled(client.readTurns('program-1', 'a', TIMEOUT_MS));
		expect(cluster.requests - before).toBe(7);
	});

	it('keep all turns when two members of every group are lost at once, and get others for them', async () => {
		const cluster = await startFleet();
		const client = cluster.createClient('g1');
		await storeAll(client);
		for (const name of ['h1', 'h2']) {
			cluster.remove(name);
		}

		expect(await readKinds(client)).toEqual(new Set(['found']));
		await vi.advanceTimersByTimeAsync(SETTLE_TIME_MS * 2);
		for (const {current, next} of cluster.lists().values()) {
			expect(next).toBeUndefined();
			expect(current.map(({host}) => host).filter(host => host === 'h1' || host === 'h2')).toEqual([]);
			expect(current.length).toBe(5);
		}

		for (const name of ['h3', 'h4']) {
			cluster.remove(name);
		}

		expect(await readKinds(client)).toEqual(new Set(['found']));
	});

	it('keep all turns when all holders are killed within a second', async () => {
		const cluster = await startFleet();
		const client = cluster.createClient('g1');
		await storeAll(client);
		for (const name of cluster.names()) {
			cluster.kill(name);
			await vi.advanceTimersByTimeAsync(30);
		}

		for (const name of cluster.names()) {
			cluster.restart(name);
		}

		await vi.advanceTimersByTimeAsync(1000);
		expect(await readKinds(client)).toEqual(new Set(['found']));
	});

	it('go on with a change that was under way when the platform\'s service failed', async () => {
		const cluster = await startFleet();
		const client = cluster.createClient('g1');
		await storeAll(client);
		cluster.remove('h1');
		const isChanging = () => [...cluster.lists().values()].some(({next}) => next);
		while (!isChanging()) {
			await vi.advanceTimersByTimeAsync(5);
		}

		cluster.isPlatformUp = false;
		await vi.advanceTimersByTimeAsync(5000);
		expect(await readKinds(client)).toEqual(new Set(['found']));
		const results = await advanceUntilSettled(Promise.all(PROGRAMS.map(async program => settle(client, program, `${program}-t2`, {previous: `${program}-t1`}))));
		expect(new Set(results)).toEqual(new Set([true]));
		cluster.isPlatformUp = true;
		await vi.advanceTimersByTimeAsync(SETTLE_TIME_MS);
		expect(isChanging()).toBe(false);
		expect(await readKinds(client)).toEqual(new Set(['found']));
	});

	it('are changed by neither half of a network partition in which no read quorum is, and lose nothing', async () => {
		const cluster = await startFleet();
		const client = cluster.createClient('g1');
		await storeAll(client);
		const names = cluster.names();
		for (const left of names.slice(0, 12)) {
			for (const right of names.slice(12)) {
				cluster.cut(left, right);
			}
		}

		await vi.advanceTimersByTimeAsync(SETTLE_TIME_MS);
		expect(await readKinds(client)).toEqual(new Set(['found']));
		cluster.heal();
		await vi.advanceTimersByTimeAsync(SETTLE_TIME_MS * 2);
		expect(await readKinds(client)).toEqual(new Set(['found']));
		expect([...cluster.lists().values()].some(({next}) => next)).toBe(false);
	});

	it('keep a turn whose disk is wiped right after it acknowledged', async () => {
		const cluster = await startFleet();
		const client = cluster.createClient('g1');
		await storeAll(client);
		for (const name of cluster.listCopies('program-3-t1').slice(0, 2)) {
			cluster.wipe(name);
		}

		expect(await readKinds(client)).toEqual(new Set(['found']));
		await vi.advanceTimersByTimeAsync(SETTLE_TIME_MS);
		expect(cluster.listCopies('program-3-t1').length).toBeGreaterThanOrEqual(3);
	});

	it('work while the disk of one member is full, without waiting for it, and use it again afterwards', async () => {
		const cluster = await startFleet();
		const client = cluster.createClient('g1');
		cluster.setDiskFull('h1', true);
		const startedAt = Date.now();
		expect(new Set(await storeAll(client))).toEqual(new Set([true]));
		expect(Date.now() - startedAt).toBeLessThan(200);
		cluster.setDiskFull('h1', false);
		expect(await readKinds(client)).toEqual(new Set(['found']));
	});

	it('refuse as unavailable while the disks of most members are full, and serve again once there is room', async () => {
		const cluster = await startFleet();
		const client = cluster.createClient('g1');
		const members = cluster.list('program-1')!.current.map(({host}) => host);
		for (const name of members.slice(0, 3)) {
			cluster.setDiskFull(name, true);
		}

		const reserve = async (attempt: string) => advanceUntilSettled(client.reserve({
			program: 'program-1', attempt, tokens: 10, retentionMs: RETENTION_MS, budget: 1000,
		}, TIMEOUT_MS));
		expect(await reserve('a')).toBe('unavailable');
		for (const name of members) {
			cluster.setDiskFull(name, false);
		}

		expect(await reserve('b')).toBe('reserved');
	});

	it('do not suffer from the trouble of another group', async () => {
		const cluster = await startFleet();
		const client = cluster.createClient('g1');
		const broken = findGroup('program-1');
		expect(client.isCutOff()).toBe(false);
		for (const name of cluster.list('program-1')!.current.map(({host}) => host).slice(0, 3)) {
			cluster.kill(name);
		}

		const others = PROGRAMS.filter(program => findGroup(program) !== broken && cluster.list(program)!.current.filter(({host}) => cluster.isUp(host)).length >= 3);
		expect(others.length).toBeGreaterThan(20);
		const results = await advanceUntilSettled(Promise.all(others.map(async program => settle(client, program, `${program}-t1`))));
		expect(new Set(results)).toEqual(new Set([true]));
		expect(await advanceUntilSettled(settle(client, 'program-1', 'x'))).toBe(false);
		await vi.advanceTimersByTimeAsync(2000);
		expect(client.cutOffForMs('program-1')).toBeGreaterThan(0);
		expect(client.cutOffForMs(others[0]!)).toBe(0);
		expect(client.isCutOff()).toBe(false);
	});

	it('find a turn of another program, and then have its chain in the group of the program that continues it', async () => {
		const cluster = await startFleet();
		const client = cluster.createClient('g1');
		await advanceUntilSettled(settle(client, 'program-1', 't1'));
		await advanceUntilSettled(settle(client, 'program-1', 't2', {previous: 't1'}));
		const other = PROGRAMS.find(program => findGroup(program) !== findGroup('program-1'))!;
		const found = await advanceUntilSettled(client.readTurns(other, 't2', TIMEOUT_MS));
		expect(found).toMatchObject({kind: 'found', isFromOtherGroup: true, turns: [{id: 't1'}, {id: 't2'}]});
		const ancestors = found.kind === 'found' ? found.turns : [];
		await advanceUntilSettled(settle(client, other, 't3', {previous: 't2', ancestors, isFromOtherGroup: true}));
		const again = await advanceUntilSettled(client.readTurns(other, 't3', TIMEOUT_MS));
		expect(again).toMatchObject({kind: 'found', isFromOtherGroup: false, turns: [{id: 't1'}, {id: 't2'}, {id: 't3'}]});
	});

	it('say that a turn is unknown only if every group has said so', async () => {
		const cluster = await startFleet();
		const client = cluster.createClient('g1');
		expect(await advanceUntilSettled(client.readTurns('program-1', 'never', TIMEOUT_MS))).toEqual({kind: 'unknown'});
		const other = PROGRAMS.find(program => findGroup(program) !== findGroup('program-1'))!;
		for (const name of cluster.list(other)!.current.map(({host}) => host).slice(0, 3)) {
			cluster.kill(name);
		}

		expect(await advanceUntilSettled(client.readTurns('program-1', 'never', TIMEOUT_MS))).toEqual({kind: 'unavailable'});
	});
});
