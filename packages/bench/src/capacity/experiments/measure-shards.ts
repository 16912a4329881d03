/**
Measures what shards cost their idle owner and the platform's service, and how
long it takes until all of them are owned, at the start and after an owner was
killed.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {CapacityCluster} from '../cluster/capacity-cluster.js';
import {countOwnedShards} from '../cluster/count-owned-shards.js';
import {createCapacityCluster} from '../cluster/create-capacity-cluster.js';
import {countPlatformCalls} from '../cluster/count-platform-calls.js';
import {waitUntil} from '../cluster/wait-until.js';
import type {Series} from '../report/series.js';
import {measureUsage} from '../usage/measure-usage.js';

const SHARD_COUNTS = [8, 16, 32, 64];
const SETTLE_MS = 1000;
const IDLE_WINDOW_MS = 5000;
const MS_PER_S = 1000;
const TAKEOVER_TIMEOUT_MS = 60_000;

const ENTRIES = ['entry-1', 'entry-2', 'entry-3'];

const countAllOwnedShards = async (addresses: readonly string[]): Promise<number> => {
	const counts = await Promise.all(addresses.map(async address => countOwnedShards(address)));
	return counts.reduce((sum, count) => sum + count, 0);
};

const startEntries = async (cluster: CapacityCluster, shards: number) => {
	const entries = await Promise.all(ENTRIES.map(async name => cluster.builder.addEntry({
		name, dataCentre: name, platformAddress: cluster.platform.address, holdsHistory: true, settings: {shards, log: {level: 'error'}},
	})));
	await cluster.start(entries.map(({host}) => host));
	const startMs = await waitUntil('every shard has an owner', async () => await countAllOwnedShards(entries.map(({address}) => address)) === shards);
	return {entries, startMs};
};

const measureShardCount = async (root: string, shards: number) => {
	const cluster = await createCapacityCluster(root);
	try {
		const {entries: [killedEntry, ...others], startMs} = await startEntries(cluster, shards);
		if (!killedEntry) {
			throw new Error('expected a cluster of three entries');
		}

		await sleep(SETTLE_MS);
		const callsBefore = await countPlatformCalls(cluster.platform.address);
		const {rates: [usage]} = await measureUsage([killedEntry.process], async () => sleep(IDLE_WINDOW_MS));
		const idleCalls = await countPlatformCalls(cluster.platform.address) - callsBefore;
		const lost = await countOwnedShards(killedEntry.address);
		killedEntry.process.kill();
		const takeoverMs = await waitUntil('the others own all shards', async () => await countAllOwnedShards(others.map(({address}) => address)) === shards, TAKEOVER_TIMEOUT_MS);
		const takeoverCalls = await countPlatformCalls(cluster.platform.address) - callsBefore - idleCalls;
		return {
			x: lost,
			values: {
				'shards of all': shards,
				'cpu ms/s': usage!.cpuMsPerS,
				MB: usage!.residentMb,
				'platform calls/s': idleCalls * MS_PER_S / IDLE_WINDOW_MS,
				'start ms': startMs,
				'takeover ms': takeoverMs,
				'takeover platform calls': takeoverCalls,
			},
		};
	} finally {
		await cluster.close();
	}
};

/** Returns one series over the shards that the measured entry owns; all sizes run at the same time. */
export const measureShards = async (root: string): Promise<Series[]> => [{
	name: 'shards of three entries',
	xName: 'owned',
	note: 'One of three entries is measured and then killed; x counts the shards that it owned. The takeover counts from the kill and includes the lapse of the lease (10 s).',
	points: await Promise.all(SHARD_COUNTS.map(async shards => measureShardCount(root, shards))),
}];
