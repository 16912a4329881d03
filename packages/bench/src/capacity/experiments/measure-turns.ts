/**
Measures how much memory finished turns take in each role while their programs
are open.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {startRoleCluster} from '../cluster/start-role-cluster.js';
import {createLoadClient} from '../load/create-load-client.js';
import {createProgramPool} from '../load/create-program-pool.js';
import {runConcurrently} from '../load/run-concurrently.js';
import type {Series} from '../report/series.js';
import {readUsage} from '../usage/read-usage.js';

const TURN_COUNTS = [500, 1500, 3000, 6000];
const CONCURRENCY = 48;
const SETTLE_MS = 1500;
const INPUT_BYTES = 1000;
const OUTPUT_TOKENS = 64;

/** Returns one series over the number of finished turns. */
export const measureTurns = async (root: string): Promise<Series[]> => {
	const cluster = await startRoleCluster(root, 0);
	const client = createLoadClient(cluster.entry.address);
	try {
		const pool = createProgramPool(client);
		const points = [];
		let finishedTurns = 0;
		for (const size of TURN_COUNTS) {
			await runConcurrently(size - finishedTurns, CONCURRENCY, async () => pool.call({
				target: {model: 'model'}, idempotent: true, outputTokens: OUTPUT_TOKENS, inputBytes: INPUT_BYTES,
			}));
			finishedTurns = size;
			await sleep(SETTLE_MS);
			const values: Record<string, number> = {};
			for (const [role, managed] of Object.entries(cluster.roles)) {
				values[`${role} MB`] = readUsage(managed.pid() ?? 0).residentMb;
			}

			points.push({x: size, values});
		}

		return [{
			name: 'finished turns of open programs',
			xName: 'turns',
			note: `${INPUT_BYTES} B in and ${OUTPUT_TOKENS} tokens out a turn, ten turns a program; resident memory, garbage not yet collected included.`,
			points,
		}];
	} finally {
		await client.close();
		await cluster.close();
	}
};
