/**
Measures what streamed tokens cost an entry, a sidecar and an owner.
*/
import {startRoleCluster} from '../cluster/start-role-cluster.js';
import {createLoadClient} from '../load/create-load-client.js';
import {createProgramPool} from '../load/create-program-pool.js';
import {runAtRate} from '../load/run-at-rate.js';
import {warmUp} from '../load/warm-up.js';
import type {Series} from '../report/series.js';
import {measureUsage} from '../usage/measure-usage.js';

const TOKENS_PER_CALL = [1, 32, 96, 192];
const CALLS_PER_S = 30;
const DURATION_S = 5;
const PROGRAMS = 64;
const TOKEN_DELAY_MS = 4;

/** Returns one series over output tokens per second, at a constant rate of calls. */
export const measureTokens = async (root: string): Promise<Series[]> => {
	const cluster = await startRoleCluster(root, TOKEN_DELAY_MS);
	const client = createLoadClient(cluster.entry.address);
	try {
		await warmUp(createProgramPool(client), {
			target: {model: 'model'}, idempotent: true, outputTokens: 32, inputBytes: 1,
		});
		const points = [];
		for (const outputTokens of TOKENS_PER_CALL) {
			const pool = createProgramPool(client);
			await pool.prepare(PROGRAMS);
			let requests = 0;
			const {rates: [entry, sidecar, owner], seconds} = await measureUsage([cluster.roles.entry, cluster.roles.sidecar, cluster.roles.owner], async () => {
				requests = await runAtRate(CALLS_PER_S, DURATION_S, async () => pool.call({
					target: {model: 'model'}, idempotent: true, outputTokens, inputBytes: 1,
				}));
			});
			points.push({
				x: requests * outputTokens / seconds,
				values: {
					'entry cpu ms/s': entry!.cpuMsPerS, 'sidecar cpu ms/s': sidecar!.cpuMsPerS, 'owner cpu ms/s': owner!.cpuMsPerS, 'entry B/s': entry!.readBytesPerS + entry!.writtenBytesPerS,
				},
			});
		}

		return [{
			name: 'output tokens a second', xName: 'tokens/s', note: `${CALLS_PER_S} calls/s of 1 to ${TOKENS_PER_CALL.at(-1)} tokens, ${TOKEN_DELAY_MS} ms a token.`, points,
		}];
	} finally {
		await client.close();
		await cluster.close();
	}
};
