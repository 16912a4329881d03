/**
Ends processes at once and removes their folder.
*/
import {rmSync} from 'node:fs';
import type {ManagedProcess} from './managed-process.js';

const KILL_TIMEOUT_MS = 500;

/** Resolves when none runs any more; those that ended already do no harm. */
export const closeProcesses = async (processes: Iterable<ManagedProcess>, folder: string): Promise<void> => {
	await Promise.all(Array.from(processes, async managed => {
		managed.thaw();
		managed.kill();
		await managed.stop(KILL_TIMEOUT_MS);
	}));
	rmSync(folder, {recursive: true, force: true});
};
