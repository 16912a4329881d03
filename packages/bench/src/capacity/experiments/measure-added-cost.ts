/**
Measures the overhead of a call through the system, compared with a call that
the client sends to the engine directly.
*/
import {startRoleCluster} from '../cluster/start-role-cluster.js';
import {createLoadClient} from '../load/create-load-client.js';
import {createProgramPool} from '../load/create-program-pool.js';
import {runConcurrently} from '../load/run-concurrently.js';
import {warmUp} from '../load/warm-up.js';
import type {Series} from '../report/series.js';
import {measureUsage} from '../usage/measure-usage.js';

const CONCURRENCY_LEVELS = [1, 8, 32, 96];
const CALLS = 600;
const PROGRAMS = 100;
const OUTPUT_TOKENS = 16;
const MEDIAN = 0.5;
const MS_PER_S = 1000;

/** Records how long each run of some work takes; `median` is in milliseconds. */
const createStopwatch = () => {
	const durationsMs: number[] = [];
	return {
		async time(work: () => Promise<void>) {
			const startedAt = performance.now();
			await work();
			durationsMs.push(performance.now() - startedAt);
		},
		median: () => durationsMs.toSorted((a, b) => a - b)[Math.floor(durationsMs.length * MEDIAN)] ?? 0,
	};
};

/** Returns one series over the number of concurrent calls. The engine generates tokens without delay, so that only the overhead of the path is measured. */
export const measureAddedCost = async (root: string): Promise<Series[]> => {
	const cluster = await startRoleCluster(root, 0);
	const client = createLoadClient(cluster.entry.address);
	try {
		const pool = createProgramPool(client);
		await pool.prepare(PROGRAMS);
		const callThroughSystem = async () => pool.call({
			target: {model: 'model'}, idempotent: true, outputTokens: OUTPUT_TOKENS, inputBytes: 1,
		});
		const callEngineDirectly = async (index: number) => client.callEngine(cluster.engine.address, `direct-${index % PROGRAMS}`, 'x', OUTPUT_TOKENS);
		await warmUp(pool, {
			target: {model: 'model'}, idempotent: true, outputTokens: OUTPUT_TOKENS, inputBytes: 1,
		});
		await runConcurrently(CALLS, PROGRAMS, callEngineDirectly);
		const points = [];
		for (const concurrency of CONCURRENCY_LEVELS) {
			const direct = createStopwatch();
			const {seconds: directSeconds} = await measureUsage([cluster.engine.upstream], async () => {
				await runConcurrently(CALLS, concurrency, async index => direct.time(async () => callEngineDirectly(index)));
			});
			const through = createStopwatch();
			const {rates: [entry, sidecar, owner], seconds} = await measureUsage([cluster.roles.entry, cluster.roles.sidecar, cluster.roles.owner], async () => {
				await runConcurrently(CALLS, concurrency, async () => through.time(callThroughSystem));
			});
			points.push({
				x: concurrency,
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
