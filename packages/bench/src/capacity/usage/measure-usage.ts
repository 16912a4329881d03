/**
Measures the resources that processes use while some work runs.
*/
import type {ManagedProcess} from '@siskinhub/standins/cluster/managed-process.js';
import {readUsage} from './read-usage.js';
import type {Usage} from './usage.js';
import type {UsageRate} from './usage-rate.js';

const MS_PER_S = 1000;

const readAllUsage = (processes: readonly ManagedProcess[]): Usage[] => processes.map(managed => {
	const pid = managed.pid();
	if (pid === undefined) {
		throw new Error(`process ${managed.name} is not running, so its usage cannot be read`);
	}

	return readUsage(pid);
});

const computeRate = (before: Usage, after: Usage): UsageRate => {
	const seconds = (after.at - before.at) / MS_PER_S;
	return {
		cpuMsPerS: (after.cpuMs - before.cpuMs) / seconds,
		readBytesPerS: (after.readBytes - before.readBytes) / seconds,
		writtenBytesPerS: (after.writtenBytes - before.writtenBytes) / seconds,
		residentMb: after.residentMb,
	};
};

/** Resolves with one rate for each process, in the order of `processes`, and the duration of `work`; rejects if a process is not running. */
export const measureUsage = async (processes: readonly ManagedProcess[], work: () => Promise<unknown>): Promise<{readonly rates: readonly UsageRate[]; readonly seconds: number}> => {
	const before = readAllUsage(processes);
	await work();
	const after = readAllUsage(processes);
	const rates = after.map((usage, index) => computeRate(before[index] ?? usage, usage));
	return {rates, seconds: ((after[0]?.at ?? 0) - (before[0]?.at ?? 0)) / MS_PER_S};
};
