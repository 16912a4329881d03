/**
Kills the processes of a deployment and removes its folder.
*/
import {rmSync} from 'node:fs';
import type {ManagedProcess} from './managed-process.js';

const KILL_TIMEOUT_MS = 500;

/** Resolves when none of the processes runs any more; processes that have already exited are skipped. */
export const closeProcesses = async (processes: Iterable<ManagedProcess>, folder: string): Promise<void> => {
	await Promise.all(Array.from(processes, async managed => {
		managed.thaw();
		managed.kill();
		await managed.stop(KILL_TIMEOUT_MS);
	}));
	rmSync(folder, {recursive: true, force: true});
};
