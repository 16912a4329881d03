/**
Measures the CPU time and memory of a gateway and its holders: starts them from
`target/` with stand-ins on loopback, sends turns and plain calls at a fixed rate,
and prints the CPU time per request, while idle and for the first calls after the
start. `--cpu-prof` writes CPU profiles to `target/prof`; arguments after `--`
replace the deployment's flags of Node.
*/
import type {ChildProcess} from 'node:child_process';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {startLocalSystem} from '../platform/src/__tests__/fakes/start-local-system.js';
import {readNodeFlags} from './read-node-flags.js';

const FIRST_PORT = 21_000;
const IDLE_MS = 5000;
const LOAD_MS = 10_000;
const FIRST_CALLS_MS = 3000;
const CALLS_PER_S = 150;
const TICKS_PER_S = 100;
const MS_PER_S = 1000;
const SEND_INTERVAL_MS = 5;
const PROFILE_FOLDER = 'target/prof';
const shouldProfile = process.argv.includes('--cpu-prof');
const flagOverrides = process.argv.includes('--') ? process.argv.slice(process.argv.indexOf('--') + 1) : undefined;

const getNodeFlags = (name: string): string[] => [
	...flagOverrides ?? readNodeFlags(name === 'gateway' ? 'siskinhub-gateway' : 'siskinhub-holder'),
	...shouldProfile ? ['--cpu-prof', `--cpu-prof-dir=${PROFILE_FOLDER}`, `--cpu-prof-name=${name}.cpuprofile`] : [],
];

const readCpuMs = ({pid}: ChildProcess): number => {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) * (MS_PER_S / TICKS_PER_S);
};

const readMemoryMb = ({pid}: ChildProcess): number => Number(/VmRSS:\s+(\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))![1]) / 1024;

const system = await startLocalSystem({firstPort: FIRST_PORT, getNodeFlags});
const {gateway, holders} = system;
const children = [gateway, ...holders];
process.stdout.write(`until ready: gateway ${readCpuMs(gateway)} ms, holders ${holders.map(holder => readCpuMs(holder)).join(' ')} ms\n`);

let sent = 0;
let failed = 0;
const latencies: number[] = [];
const call = async (number: number): Promise<void> => {
	const {status, firstEventMs} = await system.call(number);
	failed += status === 200 ? 0 : 1;
	if (firstEventMs !== undefined) {
		latencies.push(firstEventMs);
	}
};

const measure = async (name: string, ms: number, work: () => Promise<void>): Promise<number[]> => {
	const before = children.map(child => readCpuMs(child));
	await work();
	const used = children.map((child, index) => readCpuMs(child) - before[index]!);
	process.stdout.write(`${name}: gateway ${(used[0]! / ms * MS_PER_S).toFixed(1)} ms/s, holders ${used.slice(1).map(cpuMs => (cpuMs / ms * MS_PER_S).toFixed(1)).join(' ')} ms/s, memory ${children.map(child => readMemoryMb(child).toFixed(0)).join(' ')} MB\n`);
	return used;
};

const load = async (ms: number): Promise<void> => {
	const startedAt = performance.now();
	const running: Array<Promise<void>> = [];
	const sentAtEnd = sent + (CALLS_PER_S * ms / MS_PER_S);
	while (sent < sentAtEnd) {
		const due = Math.floor((performance.now() - startedAt) / MS_PER_S * CALLS_PER_S);
		while (sent < sentAtEnd && sent < (sentAtEnd - (CALLS_PER_S * ms / MS_PER_S)) + due) {
			running.push(call(sent++));
		}

		await delay(SEND_INTERVAL_MS);
	}

	await Promise.all(running);
};

await measure('first calls', FIRST_CALLS_MS, async () => load(FIRST_CALLS_MS));
await load(LOAD_MS / 2);
await measure('idle', IDLE_MS, async () => delay(IDLE_MS));
latencies.length = 0;
const sentBefore = sent;
const used = await measure('under load', LOAD_MS, async () => load(LOAD_MS));
const callCount = sent - sentBefore;
const sorted = latencies.toSorted((a, b) => a - b);
process.stdout.write(`${callCount} calls, a third of them turns, ${failed} failed: gateway ${(used[0]! / callCount).toFixed(3)} ms a call, holder ${(used[1]! / (callCount / 3)).toFixed(3)} ms a turn; first event after ${sorted[Math.floor(sorted.length / 2)]?.toFixed(1)} ms at the median\n`);
await system.stop();
