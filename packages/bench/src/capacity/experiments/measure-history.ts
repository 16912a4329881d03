/**
Measures what a call costs depending on the size of its program's history.
*/
import {startRoleCluster} from '../cluster/start-role-cluster.js';
import {createLoadClient} from '../load/create-load-client.js';
import {createProgramPool} from '../load/create-program-pool.js';
import {generateText} from '../load/generate-text.js';
import {warmUp} from '../load/warm-up.js';
import type {Series} from '../report/series.js';
import {measureUsage} from '../usage/measure-usage.js';

const HISTORY_SIZES_KB = [10, 100, 400, 1200];
const BYTES_PER_KB = 1000;
const CALLS = 20;

/** Returns one series over the size of the history in kilobytes. */
export const measureHistory = async (root: string): Promise<Series[]> => {
	const cluster = await startRoleCluster(root, 0);
	const client = createLoadClient(cluster.entry.address);
	try {
		await warmUp(createProgramPool(client), {
			target: {model: 'model'}, idempotent: true, outputTokens: 1, inputBytes: 100,
		});
		const points = [];
		for (const kb of HISTORY_SIZES_KB) {
			const program = await client.startProgram();
			const call = async (turn: number, bytes: number) => client.call({
				program, turn, target: {model: 'model'}, idempotent: true, input: [{role: 'user', content: generateText(bytes)}], outputTokens: 1,
			});
			await call(1, kb * BYTES_PER_KB);
			const {rates: [entry, holder, sidecar], seconds} = await measureUsage([cluster.roles.entry, cluster.roles.holder, cluster.roles.sidecar], async () => {
				for (let turn = 2; turn < CALLS + 2; turn++) {
					await call(turn, 1);
				}
			});
			const computePerCall = (rate: number): number => rate * seconds / CALLS;
			points.push({
				x: kb,
				values: {
					'ms/call': computePerCall(1000),
					'entry cpu ms/call': computePerCall(entry!.cpuMsPerS),
					'holder cpu ms/call': computePerCall(holder!.cpuMsPerS),
					'sidecar cpu ms/call': computePerCall(sidecar!.cpuMsPerS),
					'entry KB read/call': computePerCall(entry!.readBytesPerS) / BYTES_PER_KB,
					'entry MB': entry!.residentMb,
				},
			});
		}

		return [{
			name: 'history before a call', xName: 'KB', note: `${CALLS} calls of one token on one program, one after the other.`, points,
		}];
	} finally {
		await client.close();
		await cluster.close();
	}
};
