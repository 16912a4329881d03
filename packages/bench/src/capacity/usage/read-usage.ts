/**
Reads from `/proc` what a process of the same user has used.
*/
import {readdirSync, readFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import type {Usage} from './usage.js';

const NS_PER_MS = 1_000_000;
const KB_PER_MB = 1024;

const readField = (text: string, name: string): number => Number(new RegExp(String.raw`^${name}:\s+(\d+)`, 'mv').exec(text)?.[1] ?? 0);

/** Sums the processor time of all threads that exist now. */
const readCpuMs = (pid: number): number => {
	const tasks = `/proc/${pid}/task`;
	let runNs = 0;
	for (const task of readdirSync(tasks)) {
		runNs += Number(readFileSync(`${tasks}/${task}/schedstat`, 'utf8').split(' ')[0]);
	}

	return runNs / NS_PER_MS;
};

/** Throws if the process has ended. */
export const readUsage = (pid: number): Usage => {
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	return {
		at: performance.now(),
		cpuMs: readCpuMs(pid),
		residentMb: readField(readFileSync(`/proc/${pid}/status`, 'utf8'), 'VmRSS') / KB_PER_MB,
		readBytes: readField(io, 'rchar'),
		writtenBytes: readField(io, 'wchar'),
	};
};
