import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {advanceUntilSettled} from './advance-until-settled.js';
import {createFakeCluster} from './create-fake-cluster.js';

const SETTLE_TIME_MS = 8000;
const TIMEOUT_MS = 1500;

type Cluster = ReturnType<typeof createFakeCluster>;
type Client = ReturnType<Cluster['createClient']>;

const record = async (client: Client, version: string, sequence = 1) => advanceUntilSettled(client.recordOrigin({
	program: 'p', attempt: 'a', service: 's', version, sequence,
}, TIMEOUT_MS));

const read = async (client: Client) => advanceUntilSettled(client.readOrigin({program: 'p', attempt: 'a'}, TIMEOUT_MS));

const originOf = (version: string, sequence: number, takenUpBy = '') => ({
	service: 's', version, sequence, takenUpBy,
});

describe('origins of streams', () => {
	let cluster: Cluster;

	beforeEach(async () => {
		vi.useFakeTimers();
		cluster = createFakeCluster(3);
		await vi.advanceTimersByTimeAsync(SETTLE_TIME_MS);
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	it('are known to every process once they are stored, whichever holder is out of reach', async () => {
		expect(await record(cluster.createClient('g1'), 'v1')).toBe(true);
		for (const holder of ['h1', 'h2', 'h3']) {
			const reader = cluster.createClient(`reader-${holder}`);
			cluster.cut(`reader-${holder}`, holder);
			expect(await read(reader)).toEqual({kind: 'found', origin: originOf('v1', 1)});
		}
	});

	it('are those of the last try, also where a holder has only the one before', async () => {
		const writer = cluster.createClient('g1');
		await record(writer, 'v1');
		cluster.cut('g1', 'h1');
		expect(await record(writer, 'v2', 2)).toBe(true);
		await record(writer, 'v1', 1);
		for (const holder of ['h1', 'h2', 'h3']) {
			const reader = cluster.createClient(`reader-${holder}`);
			cluster.cut(`reader-${holder}`, holder);
			expect(await read(reader)).toEqual({kind: 'found', origin: originOf('v2', 2)});
		}
	});

	it('let at most one of two attempts take a stream up that do so at the same time', async () => {
		await record(cluster.createClient('g1'), 'v1');
		const takeUp = async (name: string, holder: string) => {
			cluster.cut(name, holder);
			return cluster.createClient(name).recordOrigin({
				program: 'p', attempt: 'a', ...originOf('v1', 2, name),
			}, TIMEOUT_MS);
		};

		const results = await advanceUntilSettled(Promise.all([takeUp('g2', 'h1'), takeUp('g3', 'h2'), takeUp('g4', 'h3')]));
		expect(results.filter(Boolean).length).toBeLessThanOrEqual(1);
		const winner = ['g2', 'g3', 'g4'][results.indexOf(true)];
		for (const holder of ['h1', 'h2', 'h3']) {
			const reader = cluster.createClient(`reader-${holder}`);
			cluster.cut(`reader-${holder}`, holder);
			const found = await read(reader);
			if (found.kind === 'found') {
				expect(found.origin).toEqual(originOf('v1', 2, winner));
			}
		}
	});

	it('are unknown only if a quorum says so', async () => {
		const reader = cluster.createClient('g1');
		expect(await read(reader)).toEqual({kind: 'unknown'});
		cluster.cut('g1', 'h1');
		cluster.cut('g1', 'h2');
		expect(await read(reader)).toEqual({kind: 'unavailable'});
	});

	it('survive that all holders are killed at once, and then the loss of a disk', async () => {
		await record(cluster.createClient('g1'), 'v1');
		for (const holder of ['h1', 'h2', 'h3']) {
			cluster.kill(holder);
		}

		for (const holder of ['h1', 'h2', 'h3']) {
			cluster.restart(holder);
		}

		cluster.wipe('h2');
		await vi.advanceTimersByTimeAsync(SETTLE_TIME_MS);
		expect(await read(cluster.createClient('g2'))).toEqual({kind: 'found', origin: originOf('v1', 1)});
	});
});
