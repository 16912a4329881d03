/**
How many requests to holders a turn takes. Each costs a holder and a gateway processor
time, which is what limits how many turns are served.
*/
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {advanceUntilSettled} from './advance-until-settled.js';
import {createFakeCluster} from './create-fake-cluster.js';

const DATA_CENTRES = ['z1', 'z2', 'z3', 'z4', 'z5'];
const RETENTION_MS = 90_000;
const SETTLE_TIME_MS = 8000;
const TIMEOUT_MS = 1500;
const BUDGET = 100_000;
/** Of five holders, of which two may be lost. */
const QUORUM = 3;

type Client = ReturnType<ReturnType<typeof createFakeCluster>['createClient']>;

const bytes = (text: string) => new TextEncoder().encode(text);

/** Runs a turn as a gateway does; `previous` is the turn before, empty for the first. */
const runTurn = async (client: Client, program: string, turn: string, previous: string): Promise<void> => {
	const attempt = {
		program, attempt: turn, tokens: 10, retentionMs: RETENTION_MS,
	};
	const previousTurn = previous === '' ? undefined : previous;
	expect(await client.reserve({...attempt, budget: BUDGET, previousTurn}, TIMEOUT_MS)).toBe('reserved');
	const read = previousTurn === undefined ? undefined : await client.readTurns(program, previousTurn, TIMEOUT_MS, turn);
	const chain = read?.kind === 'found' ? {ancestors: read.turns, isFromOtherGroup: read.isFromOtherGroup} : {ancestors: [], isFromOtherGroup: false};
	expect(read?.kind ?? 'found').toBe('found');
	expect(await client.settle(attempt, {
		previous, input: bytes('in'), output: bytes('out'), ...chain,
	}, TIMEOUT_MS)).toBe(true);
};

describe('the requests of a turn', () => {
	let cluster: ReturnType<typeof createFakeCluster>;

	beforeEach(async () => {
		vi.useFakeTimers();
		cluster = createFakeCluster(8, {losses: 2, dataCentres: DATA_CENTRES});
		await vi.advanceTimersByTimeAsync(SETTLE_TIME_MS);
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	// Guards against SHORT: turns that came through another data centre than the ones before took up to three times as many requests.
	// Also against each later turn asking one of the holders once more, for the chain.
	it('are two quorums, wherever the calls of its program come from', async () => {
		const clients = DATA_CENTRES.map((dataCentre, index) => cluster.createClient(`g${index}`, dataCentre));
		for (let program = 0; program < 10; program++) {
			for (const [turn, client] of clients.entries()) {
				const before = cluster.requests;
				await advanceUntilSettled(runTurn(client, `p${program}`, `p${program}-${turn}`, turn === 0 ? '' : `p${program}-${turn - 1}`));
				expect(cluster.requests - before).toBeLessThanOrEqual(2 * QUORUM);
			}
		}
	});

	// Guards against SHORT: the settlement of a turn that is not kept woke each process although nobody waits for it.
	it('are awaited only for the reservation of a turn that is not kept', async () => {
		const client = cluster.createClient('g1', 'z1');
		const attempt = {
			program: 'p', attempt: 'a', tokens: 10, retentionMs: RETENTION_MS,
		};
		const before = cluster.awaitedRequests;
		expect(await advanceUntilSettled(client.reserve({...attempt, budget: BUDGET}, TIMEOUT_MS))).toBe('reserved');
		expect(await advanceUntilSettled(client.settle(attempt, undefined, TIMEOUT_MS))).toBe(true);
		expect(cluster.awaitedRequests - before).toBe(QUORUM);
	});

	// Guards against SHORT: the origin of each stream took a quorum of its own, a third of what a turn that is not kept costs.
	it('are two quorums also if the stream can be taken up, while one version of the software serves', async () => {
		const client = cluster.createClient('g1', 'z1');
		const attempt = {
			program: 'p', attempt: 'a', tokens: 10, retentionMs: RETENTION_MS,
		};
		const origin = {service: 's', version: 'v1'};
		const before = cluster.requests;
		expect(await advanceUntilSettled(client.reserve({...attempt, budget: BUDGET, origin}, TIMEOUT_MS))).toBe('reserved');
		const stream = {program: 'p', attempt: 'a', ...origin};
		expect(await advanceUntilSettled(client.recordOrigin({...stream, sequence: 1}, TIMEOUT_MS))).toBe(true);
		expect(cluster.requests - before).toBeLessThanOrEqual(QUORUM);
		const found = await advanceUntilSettled(cluster.createClient('g2', 'z2').readOrigin({program: 'p', attempt: 'a'}, TIMEOUT_MS));
		expect(found).toEqual({kind: 'found', origin: {...origin, sequence: 1, takenUpBy: ''}});
		// Another version than the expected one is stored as before, and holds.
		expect(await advanceUntilSettled(client.recordOrigin({...stream, version: 'v2', sequence: 2}, TIMEOUT_MS))).toBe(true);
		const changed = await advanceUntilSettled(cluster.createClient('g3', 'z3').readOrigin({program: 'p', attempt: 'a'}, TIMEOUT_MS));
		expect(changed).toMatchObject({kind: 'found', origin: {version: 'v2', sequence: 2}});
	});

	// Guards against SHORT: a turn that there is not was asked for at all disks of each of 32 groups, 160 requests.
	it('are one to each disk beyond its group for a turn that nobody has', async () => {
		const client = cluster.createClient('g1', 'z1');
		const before = cluster.requests;
		expect(await advanceUntilSettled(client.readTurns('p', 'nobody-has-it', TIMEOUT_MS))).toEqual({kind: 'unknown'});
		expect(cluster.requests - before).toBeLessThanOrEqual(cluster.names().length + 5);
	});

	it('are one to each disk and the read for a turn of another program', async () => {
		const client = cluster.createClient('g1', 'z1');
		await advanceUntilSettled(runTurn(client, 'parent', 'asked-for', ''));
		const before = cluster.requests;
		const found = await advanceUntilSettled(cluster.createClient('g2', 'z2').readTurns('child', 'asked-for', TIMEOUT_MS));
		expect(found.kind === 'found' && found.turns.map(({id}) => id)).toEqual(['asked-for']);
		expect(cluster.requests - before).toBeLessThanOrEqual(cluster.names().length + 10);
	});

	it('find a turn of another program, and tell that there is none, while two disks are gone', async () => {
		const client = cluster.createClient('g1', 'z1');
		await advanceUntilSettled(runTurn(client, 'parent', 'asked-for', ''));
		cluster.kill('h1');
		cluster.kill('h2');
		const reader = cluster.createClient('g2', 'z2');
		const found = await advanceUntilSettled(reader.readTurns('child', 'asked-for', TIMEOUT_MS));
		expect(found.kind === 'found' && found.turns.map(({id}) => id)).toEqual(['asked-for']);
		expect(await advanceUntilSettled(reader.readTurns('child', 'nobody-has-it', TIMEOUT_MS))).toEqual({kind: 'unknown'});
	});

	it('do not tell that there is no such turn while a quorum of a group is out of reach', async () => {
		for (const name of ['h1', 'h2', 'h3', 'h4']) {
			cluster.cut('g1', name);
		}

		expect(await advanceUntilSettled(cluster.createClient('g1', 'z1').readTurns('p', 'nobody-has-it', TIMEOUT_MS))).toEqual({kind: 'unavailable'});
	});

	it('are asked for the origin again if too few disks stored it with the tokens', async () => {
		const client = cluster.createClient('g1', 'z1');
		const attempt = {
			program: 'p', attempt: 'a', tokens: 10, retentionMs: RETENTION_MS,
		};
		// Another process stored an origin of the same attempt, which holds on these disks.
		await advanceUntilSettled(cluster.createClient('g2', 'z1').recordOrigin({
			program: 'p', attempt: 'a', service: 's', version: 'v2', sequence: 1,
		}, TIMEOUT_MS));
		expect(await advanceUntilSettled(client.reserve({...attempt, budget: BUDGET, origin: {service: 's', version: 'v1'}}, TIMEOUT_MS))).toBe('reserved');
		expect(await advanceUntilSettled(client.recordOrigin({
			program: 'p', attempt: 'a', service: 's', version: 'v1', sequence: 1,
		}, TIMEOUT_MS))).toBe(false);
	});
});
