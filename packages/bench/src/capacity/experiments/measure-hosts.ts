/**
Measures what the length of the platform's host list costs an idle entry.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {createCapacityCluster} from '../cluster/create-capacity-cluster.js';
import {countPlatformCalls} from '../cluster/count-platform-calls.js';
import type {Series} from '../report/series.js';
import {measureUsage} from '../usage/measure-usage.js';

const HOST_COUNTS = [10, 100, 400, 1100];
const SHARDS = 64;
const SETTLE_MS = 6000;
const IDLE_WINDOW_MS = 6000;
const MS_PER_S = 1000;
const DATA_CENTRE_COUNT = 21;

/** Creates lines of the host list for entries that do not run. */
const createAbsentEntries = (count: number) => Array.from({length: count}, (_, index) => ({
	id: `absent-${index}`, role: 'entry', peerAddress: 'http://127.0.0.1:1', dataCentre: `centre-${index % DATA_CENTRE_COUNT}`, state: 'live',
}));

const measureHostCount = async (root: string, hostCount: number) => {
	const cluster = await createCapacityCluster(root);
	try {
		const entry = await cluster.builder.addEntry({
			name: 'entry', dataCentre: 'centre-0', platformAddress: cluster.platform.address, holdsHistory: true, settings: {shards: SHARDS, log: {level: 'error'}},
		});
		await cluster.start([entry.host, ...createAbsentEntries(hostCount - 1)]);
		await sleep(SETTLE_MS);
		const callsBefore = await countPlatformCalls(cluster.platform.address);
		const {rates: [usage]} = await measureUsage([entry.process], async () => sleep(IDLE_WINDOW_MS));
		const calls = await countPlatformCalls(cluster.platform.address) - callsBefore;
		return {
			x: hostCount,
			values: {
				'entry cpu ms/s': usage!.cpuMsPerS, 'entry MB': usage!.residentMb, 'entry B/s': usage!.readBytesPerS + usage!.writtenBytesPerS, 'platform calls/s': calls * MS_PER_S / IDLE_WINDOW_MS,
			},
		};
	} finally {
		await cluster.close();
	}
};

/** Returns one series over the number of listed entries. Only one of them runs; it owns the shards for which it is a candidate. */
export const measureHosts = async (root: string): Promise<Series[]> => [{
	name: 'entries in the host list', xName: 'entries',
	note: `One real entry, ${SHARDS} shards; it owns those for which it is among the first three.`,
	points: await Promise.all(HOST_COUNTS.map(async hostCount => measureHostCount(root, hostCount))),
}];
