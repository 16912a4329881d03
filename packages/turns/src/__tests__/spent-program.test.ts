/**
What a program that loops costs the holders, whose time the turns of others need.
*/
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {advanceUntilSettled} from './advance-until-settled.js';
import {createFakeCluster} from './create-fake-cluster.js';

const DATA_CENTRES = ['z1', 'z2', 'z3', 'z4', 'z5'];
const GATEWAYS = 20;
const TURNS_PER_GATEWAY = 50;
const RETENTION_MS = 90_000;
const SETTLE_TIME_MS = 8000;
const TIMEOUT_MS = 1500;
const BUDGET = 100;
/** Each group has five holders, and a write quorum of three. */
const QUORUM = 3;

type Client = ReturnType<ReturnType<typeof createFakeCluster>['createClient']>;

/** As a gateway does it: what may be reserved is settled. */
const sendTurn = async (client: Client, attempt: string, {tokens = 10, used = 0} = {}): Promise<string> => {
	const reserved = await client.reserve({
		program: 'p', attempt, tokens, retentionMs: RETENTION_MS, budget: BUDGET,
	}, TIMEOUT_MS);
	if (reserved !== 'spent') {
		await client.settle({
			program: 'p', attempt, tokens: reserved === 'reserved' ? used : 0, retentionMs: RETENTION_MS,
		}, undefined, TIMEOUT_MS);
	}

	return reserved;
};

describe('a program whose budget is spent', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	const startCluster = async () => {
		const cluster = createFakeCluster(8, {losses: 2, dataCentres: DATA_CENTRES});
		await vi.advanceTimersByTimeAsync(SETTLE_TIME_MS);
		return cluster;
	};

	// Guards against SHORT: each refused turn wrote a reservation and its release to three disks, and was answered with all refused turns before it.
	it('leaves next to nothing on the disks for a thousand refused turns through twenty gateways', async () => {
		const cluster = await startCluster();
		const clients = Array.from({length: GATEWAYS}, (_, index) => cluster.createClient(`g${index}`, DATA_CENTRES[index % DATA_CENTRES.length]));
		expect(await advanceUntilSettled(sendTurn(clients[0]!, 'spending', {tokens: BUDGET, used: BUDGET}))).toBe('reserved');
		const before = {records: cluster.countRecords(), requests: cluster.requests};
		const results = await advanceUntilSettled(Promise.all(clients.flatMap((client, gateway) => Array.from({length: TURNS_PER_GATEWAY}, async (_, turn) => {
			await new Promise(resolve => {
				setTimeout(resolve, turn * 20);
			});
			return sendTurn(client, `g${gateway}-${turn}`);
		}))));
		expect(results.every(result => result === 'spent' || result === 'over-budget')).toBe(true);
		// One refusal in each data centre may reach a disk that has not heard of the program yet, which stores what it lacks, the reservation and its release.
		expect(cluster.countRecords() - before.records).toBeLessThanOrEqual(DATA_CENTRES.length * QUORUM * 2);
		expect(cluster.requests - before.requests).toBeLessThanOrEqual((GATEWAYS + (DATA_CENTRES.length * 2)) * QUORUM);
	});

	it('leaves nothing on the disks when its calls come from where it ran', async () => {
		const cluster = await startCluster();
		const client = cluster.createClient('g1', 'z1');
		await advanceUntilSettled(sendTurn(client, 'spending', {tokens: BUDGET, used: BUDGET}));
		const before = cluster.countRecords();
		for (let turn = 0; turn < 20; turn++) {
			const other = cluster.createClient(`other-${turn}`, 'z1');
			expect(await advanceUntilSettled(sendTurn(other, `t${turn}`))).toBe('spent');
		}

		expect(cluster.countRecords()).toBe(before);
	});

	it('is refused after a restart of all holders, however long it was refused before', async () => {
		const cluster = await startCluster();
		await advanceUntilSettled(sendTurn(cluster.createClient('g1', 'z1'), 'spending', {tokens: BUDGET, used: BUDGET}));
		for (let second = 0; second < 4 * RETENTION_MS / 1000; second += 3) {
			expect(await advanceUntilSettled(sendTurn(cluster.createClient(`g-${second}`, 'z1'), `t${second}`))).not.toBe('reserved');
			await vi.advanceTimersByTimeAsync(3000);
		}

		for (const name of cluster.names()) {
			cluster.restart(name);
		}

		await vi.advanceTimersByTimeAsync(RETENTION_MS);
		expect(await advanceUntilSettled(sendTurn(cluster.createClient('late', 'z1'), 'late'))).not.toBe('reserved');
	});

	it('is served again once a turn under way has used less than it reserved, also by a holder that has not heard of it', async () => {
		const cluster = await startCluster();
		const near = cluster.createClient('g1', 'z1');
		const attempt = {program: 'p', attempt: 'a', retentionMs: RETENTION_MS};
		expect(await advanceUntilSettled(near.reserve({...attempt, tokens: 95, budget: BUDGET}, TIMEOUT_MS))).toBe('reserved');
		// One of the holders that stored the reservation does not hear of its end.
		const [silent] = cluster.namesWithUse('a');
		cluster.cut('g1', silent!);
		expect(await advanceUntilSettled(near.settle({...attempt, tokens: 5}, undefined, TIMEOUT_MS))).toBe(true);
		cluster.heal();
		expect(await advanceUntilSettled(sendTurn(cluster.createClient('g2', 'z1'), 'b', {tokens: 50, used: 50}))).toBe('reserved');
	});

	it.each([0, 1, 2])('is granted its budget once by two processes whose quorums share only a holder that has not heard that a turn used less', async position => {
		const cluster = createFakeCluster(5, {losses: 2, dataCentres: DATA_CENTRES});
		await vi.advanceTimersByTimeAsync(SETTLE_TIME_MS);
		const first = cluster.createClient('first', 'z1');
		const attempt = {program: 'p', attempt: 'first', retentionMs: RETENTION_MS};
		expect(await advanceUntilSettled(first.reserve({...attempt, tokens: 95, budget: BUDGET}, TIMEOUT_MS))).toBe('reserved');
		const quorum = cluster.namesWithUse('first');
		expect(quorum).toHaveLength(QUORUM);
		const shared = quorum[position]!;
		cluster.cut('first', shared);
		expect(await advanceUntilSettled(first.settle({...attempt, tokens: 5}, undefined, TIMEOUT_MS))).toBe(true);
		for (const name of quorum.filter(each => each !== shared)) {
			cluster.cut('g2', name);
		}

		const results = await advanceUntilSettled(Promise.all(['g1', 'g2'].map(async name => cluster.createClient(name, 'z1').reserve({
			program: 'p', attempt: name, tokens: 60, retentionMs: RETENTION_MS, budget: BUDGET,
		}, TIMEOUT_MS))));
		expect(results.filter(result => result === 'reserved').length).toBeLessThanOrEqual(1);
	});
});
