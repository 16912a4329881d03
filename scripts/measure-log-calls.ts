/**
Measures how many calls to the platform's service 1,000 appends cost at 1, 10 and
100 times the base load. The stand-in for the service and the logs run in one
process, over loopback. Usage:
`npx tsx scripts/measure-log-calls.ts [--window MS] [--logs N]`
*/
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {createPlatformClient} from '@siskinhub/platform/create-platform-client.js';
import {openLog} from '@siskinhub/platform/open-log.js';
import {createPlatformServer} from '@siskinhub/standins/platform/create-platform-server.js';

const APPENDS = 1000;
const BASE_RATE_PER_S = 20;
const LOAD_FACTORS = [1, 10, 100];

type Stats = {readonly reads: number; readonly writes: number};

const {values} = parseArgs({
	options: {
		window: {type: 'string', default: '100'},
		logs: {type: 'string', default: '1'},
	},
});
const commitWindowMs = Number(values.window);
const logCount = Number(values.logs);

const server = await createPlatformServer({ip: '127.0.0.1', port: 0});
const client = createPlatformClient({address: server.address});

const readStats = async (): Promise<Stats> => {
	const res = await fetch(`${server.address}/stats`);
	return await res.json() as Stats;
};

const computePercentile = (sorted: readonly number[], fraction: number) => sorted[Math.floor(fraction * (sorted.length - 1))] ?? 0;

let commits = 0;
const openMeasuredLog = async (log: string) => {
	const opened = await openLog<string, number>({
		client,
		log,
		writer: 'measure',
		createCommitId: () => `c${commits++}`,
		mode: 'exclusive',
		initialState: 0,
		fold: state => state + 1,
		commitWindowMs,
	});
	return opened._unsafeUnwrap();
};

process.stdout.write(`${APPENDS} appends, ${logCount} log(s), commit window ${commitWindowMs} ms\n`);
process.stdout.write('| load | appends/s | reads | writes | calls per 1,000 appends | calls/s | append p50 ms | p95 ms |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n');

for (const load of LOAD_FACTORS) {
	const logs = await Promise.all(Array.from({length: logCount}, async (_, number) => openMeasuredLog(`load${load}-${number}`)));
	const before = await readStats();
	const rate = BASE_RATE_PER_S * load;
	const startedAt = performance.now();
	const latencies = await Promise.all(Array.from({length: APPENDS}, async (_, number) => {
		await sleep(1000 * number / rate);
		const appendedAt = performance.now();
		const appended = await logs[number % logCount]!.append(`item-${number}`);
		appended._unsafeUnwrap();
		return performance.now() - appendedAt;
	}));
	const seconds = (performance.now() - startedAt) / 1000;
	const after = await readStats();
	const reads = after.reads - before.reads;
	const writes = after.writes - before.writes;
	const sorted = latencies.toSorted((a, b) => a - b);
	const cells = [load, rate, reads, writes, reads + writes, ((reads + writes) / seconds).toFixed(1), computePercentile(sorted, 0.5).toFixed(0), computePercentile(sorted, 0.95).toFixed(0)];
	process.stdout.write(`| ${cells.join(' | ')} |\n`);
	for (const log of logs) {
		log.close();
	}
}

await client.close();
await server.close();
