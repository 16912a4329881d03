/**
What the length of the platform's host list costs an entry at rest.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {createCapacityCluster} from '../cluster/create-capacity-cluster.js';
import {readPlatformCalls} from '../cluster/read-platform-calls.js';
import type {Series} from '../report/series.js';
import {measureUsage} from '../usage/measure-usage.js';

const HOSTS = [10, 100, 400, 1100];
const SHARDS = 64;
const SETTLE_MS = 6000;
const REST_MS = 6000;
const MS_PER_S = 1000;
const DATA_CENTRES = 21;

const listAbsentEntries = (count: number) => Array.from({length: count}, (_, index) => ({
	id: `absent-${index}`, role: 'entry', peerAddress: 'http://127.0.0.1:1', dataCentre: `centre-${index % DATA_CENTRES}`, state: 'live',
}));

const measureSize = async (root: string, hosts: number) => {
	const cluster = await createCapacityCluster(root);
	try {
		const entry = await cluster.builder.addEntry({
			name: 'entry', dataCentre: 'centre-0', platformAddress: cluster.platform.address, holdsHistory: true, settings: {shards: SHARDS, log: {level: 'error'}},
		});
		await cluster.start([entry.host, ...listAbsentEntries(hosts - 1)]);
		await sleep(SETTLE_MS);
		const callsBefore = await readPlatformCalls(cluster.platform.address);
		const {rates: [usage]} = await measureUsage([entry.process], async () => sleep(REST_MS));
		const calls = await readPlatformCalls(cluster.platform.address) - callsBefore;
		return {
			x: hosts,
			values: {
				'entry cpu ms/s': usage!.cpuMsPerS, 'entry MB': usage!.residentMb, 'entry B/s': usage!.readBytesPerS + usage!.writtenBytesPerS, 'platform calls/s': calls * MS_PER_S / REST_MS,
			},
		};
	} finally {
		await cluster.close();
	}
};

/** One series over listed entries, of which one is real and owns the shards that it ranks for. */
export const measureHosts = async (root: string): Promise<Series[]> => [{
	name: 'entries in the host list', xName: 'entries',
	note: `One real entry, ${SHARDS} shards; it owns those for which it is among the first three.`,
	points: await Promise.all(HOSTS.map(async hosts => measureSize(root, hosts))),
}];
