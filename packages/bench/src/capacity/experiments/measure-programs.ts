/**
Measures what open programs cost the owner of their shards and a history holder
while they make no calls.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {startRoleCluster} from '../cluster/start-role-cluster.js';
import {createLoadClient} from '../load/create-load-client.js';
import type {LoadClient} from '../load/load-client.js';
import {runConcurrently} from '../load/run-concurrently.js';
import type {Series} from '../report/series.js';
import {measureUsage} from '../usage/measure-usage.js';

const PROGRAM_COUNTS = [100, 1000, 5000, 20_000, 100_000];
const CONCURRENCY = 64;
/** A size whose programs would take longer than this to start is left out. */
const MAX_STARTING_MS = 50_000;
const SETTLE_MS = 1500;
const IDLE_WINDOW_MS = 4000;
const MS_PER_S = 1000;

const startPrograms = async (client: LoadClient, count: number): Promise<void> => runConcurrently(count, CONCURRENCY, async () => {
	await client.startProgram();
});

/** Returns one series over the number of open programs; its note lists the sizes that were left out. */
export const measurePrograms = async (root: string): Promise<Series[]> => {
	const cluster = await startRoleCluster(root, 0);
	const client = createLoadClient(cluster.entry.address);
	let open = 0;
	let startingMs = 0;
	try {
		const points = [];
		for (const size of PROGRAM_COUNTS) {
			const msPerProgram = open === 0 ? 0 : startingMs / open;
			if (size * msPerProgram > MAX_STARTING_MS) {
				break;
			}

			const started = size - open;
			const {seconds, rates: [ownerStarting, holderStarting]} = await measureUsage([cluster.roles.owner, cluster.roles.holder], async () => startPrograms(client, started));
			open = size;
			startingMs += seconds * MS_PER_S;
			await sleep(SETTLE_MS);
			const {rates: [owner, holder]} = await measureUsage([cluster.roles.owner, cluster.roles.holder], async () => sleep(IDLE_WINDOW_MS));
			points.push({
				x: size,
				values: {
					'owner MB': owner!.residentMb,
					'owner cpu ms/s': owner!.cpuMsPerS,
					'holder MB': holder!.residentMb,
					'holder cpu ms/s': holder!.cpuMsPerS,
					'starts/s': started / seconds,
					'owner ms/start': ownerStarting!.cpuMsPerS * seconds / started,
					'holder ms/start': holderStarting!.cpuMsPerS * seconds / started,
				},
			});
		}

		const missing = PROGRAM_COUNTS.filter(size => size > open);
		return [{
			name: 'open programs at rest',
			xName: 'programs',
			note: `One owner of all of them, three holders (one shown). Left out, as starting them would take too long: ${missing.join(', ') || 'none'}.`,
			points,
		}];
	} finally {
		await client.close();
		await cluster.close();
	}
};
