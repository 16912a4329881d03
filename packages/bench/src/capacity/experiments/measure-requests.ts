/**
Measures what requests cost each role at increasing rates, and how many calls to
the platform's service they cause.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {countPlatformCalls} from '../cluster/count-platform-calls.js';
import {startRoleCluster} from '../cluster/start-role-cluster.js';
import {createLoadClient} from '../load/create-load-client.js';
import {createProgramPool} from '../load/create-program-pool.js';
import {runAtRate} from '../load/run-at-rate.js';
import {warmUp} from '../load/warm-up.js';
import type {Series} from '../report/series.js';
import {measureUsage} from '../usage/measure-usage.js';

const RATES_PER_S = [2, 20, 60, 120, 200];
const DURATION_S = 5;
const PROGRAMS = 64;
const OUTPUT_TOKENS = 16;
const INPUT_BYTES = 100;
const TOKEN_DELAY_MS = 2;
const SETTLE_MS = 300;
const PER_THOUSAND = 1000;

type Pool = ReturnType<typeof createProgramPool>;
type Plan = Parameters<Pool['call']>[0];
type Roles = Awaited<ReturnType<typeof startRoleCluster>>['roles'];

const PLANS: ReadonlyArray<{readonly name: string; readonly plan: Plan}> = [
	{
		name: 'model calls a second, idempotent', plan: {
			target: {model: 'model'}, idempotent: true, outputTokens: OUTPUT_TOKENS, inputBytes: INPUT_BYTES,
		},
	},
	{
		name: 'plain calls a second, not idempotent', plan: {
			target: {service: 'service', operation: 'book'}, idempotent: false, outputTokens: 0, inputBytes: INPUT_BYTES,
		},
	},
];

const measureRate = async (rate: number, call: () => Promise<void>, roles: Roles, platformAddress: string) => {
	await sleep(SETTLE_MS);
	const callsBefore = await countPlatformCalls(platformAddress);
	let requests = 0;
	const {rates, seconds} = await measureUsage(Object.values(roles), async () => {
		requests = await runAtRate(rate, DURATION_S, call);
	});
	const platformCalls = await countPlatformCalls(platformAddress) - callsBefore;
	const values: Record<string, number> = {};
	for (const [index, role] of Object.keys(roles).entries()) {
		const usage = rates[index]!;
		values[`${role} cpu ms/s`] = usage.cpuMsPerS;
		values[`${role} B/s`] = usage.readBytesPerS + usage.writtenBytesPerS;
	}

	return {x: requests / seconds, values: {...values, 'platform calls/s': platformCalls / seconds, 'platform calls/1,000': platformCalls * PER_THOUSAND / requests}};
};

/** Returns one series for idempotent model calls and one for service calls that are not idempotent. */
export const measureRequests = async (root: string): Promise<Series[]> => {
	const cluster = await startRoleCluster(root, TOKEN_DELAY_MS);
	const client = createLoadClient(cluster.entry.address);
	try {
		const pool = createProgramPool(client);
		await pool.prepare(PROGRAMS);
		const series: Series[] = [];
		for (const {name, plan} of PLANS) {
			await warmUp(pool, plan);
			const points = [];
			for (const rate of RATES_PER_S) {
				points.push(await measureRate(rate, async () => pool.call(plan), cluster.roles, cluster.platform.address));
			}

			series.push({
				name,
				xName: 'requests/s',
				note: `${INPUT_BYTES} B in, ${OUTPUT_TOKENS} tokens out; an entry without shards, an owner of all shards, 3 holders (one shown), a sidecar. B/s is read and written, files included.`,
				points,
			});
		}

		return series;
	} finally {
		await client.close();
		await cluster.close();
	}
};
