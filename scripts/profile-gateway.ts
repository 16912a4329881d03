/**
Measures what a gateway and its holders cost: starts them from `target/` beside
stand-ins on loopback, sends turns and plain calls at a fixed rate, and prints
processor time a request, at rest and for the first calls after a start.
`--cpu-prof` leaves profiles in `target/prof`; what follows `--` goes to Node.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import {
	mkdirSync, readFileSync, writeFileSync, mkdtempSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {exampleConfig} from '../platform/src/__tests__/fakes/example-config.js';
import {startFakeStore} from '../platform/src/__tests__/fakes/start-fake-store.js';
import {startFakeWorker} from '../platform/src/__tests__/fakes/start-fake-worker.js';

const HOLDERS = 3;
const REST_MS = 5000;
const LOAD_MS = 10_000;
const COLD_MS = 3000;
const CALLS_PER_S = 150;
const TICKS_PER_S = 100;
const PROFILE_FOLDER = 'target/prof';
const shouldProfile = process.argv.includes('--cpu-prof');
const nodeFlags = process.argv.includes('--') ? process.argv.slice(process.argv.indexOf('--') + 1) : [];
const folder = mkdtempSync(path.join(tmpdir(), 'siskinhub-profile-'));

const store = await startFakeStore();
const models = await Promise.all(['m1', 'm2', 'm3'].map(async id => startFakeWorker(id)));
const orders = await Promise.all(['o1', 'o2', 'o3'].map(async id => startFakeWorker(id)));
store.write('op/config', exampleConfig(1));
let beat = 1;
const writeBeats = (): void => {
	beat++;
	for (const worker of models) {
		store.write(`servers/${worker.id}`, worker.entry('models', {sequence: beat}));
	}

	for (const worker of orders) {
		store.write(`servers/${worker.id}`, worker.entry('orders', {sequence: beat}));
	}
};

writeBeats();
setInterval(writeBeats, 300).unref();

const start = (binary: string, name: string, port: number): ChildProcess => {
	const file = path.join(folder, `${name}.yaml`);
	const data = path.join(folder, name);
	mkdirSync(data);
	writeFileSync(file, JSON.stringify({
		nodeName: name,
		ipAddress: '127.0.0.1',
		zone: 'z1',
		listenAddresses: binary === 'gateway' ? {frontend: `127.0.0.1:${port + 5}`, ready: `127.0.0.1:${port + 6}`, controlPlane: `127.0.0.1:${port + 7}`} : {},
		internalPortRange: [port, port + 4],
		seedNodes: [],
		dataDirectory: binary === 'holder' ? data : null,
		faultTolerance: {machines: 1},
		bounds: {graceS: 8},
		platform: {address: store.address},
	}));
	const flags = shouldProfile ? ['--cpu-prof', `--cpu-prof-dir=${PROFILE_FOLDER}`, `--cpu-prof-name=${name}.cpuprofile`] : [];
	return spawn(process.execPath, [...nodeFlags, ...flags, `target/siskinhub-${binary}.mjs`], {env: {...process.env, SISKINHUB_BOOT: file}, stdio: ['ignore', 'ignore', 'inherit']});
};

const readCpuMs = ({pid}: ChildProcess): number => {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) * (1000 / TICKS_PER_S);
};

const readMemoryMb = ({pid}: ChildProcess): number => Number(/VmRSS:\s+(\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))![1]) / 1024;

const holders = Array.from({length: HOLDERS}, (_, index) => start('holder', `holder-${index}`, 21_000 + (index * 20)));
const gateway = start('gateway', 'gateway', 21_100);
const children = [gateway, ...holders];
const agent = new Agent({connections: 40});
for (let ready = 0; ready !== 200;) {
	await delay(200);
	try {
		const res = await request('http://127.0.0.1:21106/', {dispatcher: agent});
		ready = res.statusCode;
		await res.body.dump();
	} catch {
		// Not listening yet.
	}
}

let sent = 0;
let failed = 0;
const latencies: number[] = [];
const call = async (number: number): Promise<void> => {
	const id = `${Date.now().toString(16)}-${number}`;
	const isTurn = number % 3 === 0;
	const startedAt = performance.now();
	const res = await request(`http://127.0.0.1:21105${isTurn ? '/chat/turn' : '/stock/1'}`, {
		dispatcher: agent,
		method: isTurn ? 'POST' : 'GET',
		headers: {
			host: 'shop.example',
			'x-request-id': id,
			'x-program-id': `p${number % 300}`,
			'x-deadline-milliseconds': '3000',
			...(isTurn && {
				'x-token-usage': '1460,80', 'x-token-budget': '1000000', 'x-prompt-prefix': `shared:800,p${number % 300}:410`, 'x-model': 'm',
			}),
		},
		...(isTurn && {body: 'x'.repeat(5000)}),
	});
	let isFirst = true;
	for await (const chunk of res.body) {
		if (isFirst && isTurn && (chunk as Uint8Array).length > 0) {
			isFirst = false;
			latencies.push(performance.now() - startedAt);
		}
	}

	failed += res.statusCode === 200 ? 0 : 1;
};

const measure = async (name: string, ms: number, work: () => Promise<void>): Promise<number[]> => {
	const before = children.map(child => readCpuMs(child));
	await work();
	const used = children.map((child, index) => readCpuMs(child) - before[index]!);
	process.stdout.write(`${name}: gateway ${(used[0]! / ms * 1000).toFixed(1)} ms/s, holders ${used.slice(1).map(each => (each / ms * 1000).toFixed(1)).join(' ')} ms/s, memory ${children.map(child => readMemoryMb(child).toFixed(0)).join(' ')} MB\n`);
	return used;
};

const load = async (ms: number): Promise<void> => {
	const startedAt = performance.now();
	const running: Array<Promise<void>> = [];
	const until = sent + (CALLS_PER_S * ms / 1000);
	while (sent < until) {
		const due = Math.floor((performance.now() - startedAt) / 1000 * CALLS_PER_S);
		while (sent < until && sent < (until - (CALLS_PER_S * ms / 1000)) + due) {
			running.push(call(sent++));
		}

		await delay(5);
	}

	await Promise.all(running);
};

await measure('first calls', COLD_MS, async () => load(COLD_MS));
await load(LOAD_MS / 2);
await measure('at rest', REST_MS, async () => delay(REST_MS));
latencies.length = 0;
const sentBefore = sent;
const used = await measure('under load', LOAD_MS, async () => load(LOAD_MS));
const count = sent - sentBefore;
const sorted = latencies.toSorted((a, b) => a - b);
process.stdout.write(`${count} calls, a third of them turns, ${failed} failed: gateway ${(used[0]! / count).toFixed(3)} ms a call, holder ${(used[1]! / (count / 3)).toFixed(3)} ms a turn; first event after ${sorted[Math.floor(sorted.length / 2)]?.toFixed(1)} ms at the median\n`);
for (const child of children) {
	child.kill('SIGTERM');
}

await Promise.all(children.map(async child => new Promise(resolve => {
	child.once('exit', resolve);
})));
store.close();
for (const worker of [...models, ...orders]) {
	worker.close();
}

await agent.close();
