/**
What the system adds to a call, against a client that calls the engine itself.
*/
import {startRoleCluster} from '../cluster/start-role-cluster.js';
import {createLoadClient} from '../load/create-load-client.js';
import {createProgramPool} from '../load/create-program-pool.js';
import {runTogether} from '../load/run-together.js';
import {warmUp} from '../load/warm-up.js';
import type {Series} from '../report/series.js';
import {measureUsage} from '../usage/measure-usage.js';

const AT_ONCE = [1, 8, 32, 96];
const CALLS = 600;
const PROGRAMS = 100;
const OUTPUT_TOKENS = 16;
const MEDIAN = 0.5;
const MS_PER_S = 1000;

const createTimer = () => {
	const times: number[] = [];
	return {
		async time(work: () => Promise<void>) {
			const startedAt = performance.now();
			await work();
			times.push(performance.now() - startedAt);
		},
		median: () => times.toSorted((a, b) => a - b)[Math.floor(times.length * MEDIAN)] ?? 0,
	};
};

/** One series over calls at the same time; the engine's tokens take no time, so that only the way counts. */
export const measureAddedCost = async (root: string): Promise<Series[]> => {
	const cluster = await startRoleCluster(root, 0);
	const client = createLoadClient(cluster.entry.address);
	try {
		const pool = createProgramPool(client);
		await pool.prepare(PROGRAMS);
		const callThrough = async () => pool.call({
			target: {model: 'model'}, idempotent: true, outputTokens: OUTPUT_TOKENS, inputBytes: 1,
		});
		const callDirect = async (index: number) => client.callEngine(cluster.engine.address, `direct-${index % PROGRAMS}`, 'x', OUTPUT_TOKENS);
		await warmUp(pool, {
			target: {model: 'model'}, idempotent: true, outputTokens: OUTPUT_TOKENS, inputBytes: 1,
		});
		await runTogether(CALLS, PROGRAMS, callDirect);
		const points = [];
		for (const atOnce of AT_ONCE) {
			const direct = createTimer();
			const {seconds: directSeconds} = await measureUsage([cluster.engine.upstream], async () => {
				await runTogether(CALLS, atOnce, async index => direct.time(async () => callDirect(index)));
			});
			const through = createTimer();
			const {rates: [entry, sidecar, owner], seconds} = await measureUsage([cluster.roles.entry, cluster.roles.sidecar, cluster.roles.owner], async () => {
				await runTogether(CALLS, atOnce, async () => through.time(callThrough));
			});
			points.push({
				x: atOnce,
				values: {
					'direct ms p50': direct.median(),
					'through ms p50': through.median(),
					'direct calls/s': CALLS / directSeconds,
					'through calls/s': CALLS / seconds,
					'entry core share': entry!.cpuMsPerS / MS_PER_S,
					'entry cpu ms/call': entry!.cpuMsPerS * seconds / CALLS,
					'sidecar cpu ms/call': sidecar!.cpuMsPerS * seconds / CALLS,
					'owner cpu ms/call': owner!.cpuMsPerS * seconds / CALLS,
				},
			});
		}

		return [{
			name: 'calls at the same time, through the system and straight to the engine',
			xName: 'at once',
			note: `${CALLS} calls each, closed loop, ${OUTPUT_TOKENS} tokens without delay; all processes on this machine.`,
			points,
		}];
	} finally {
		await client.close();
		await cluster.close();
	}
};
