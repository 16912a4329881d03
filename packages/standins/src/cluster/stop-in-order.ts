/**
Stops the processes of a deployment gracefully, group by group.
*/
import type {StopReport} from './stop-report.js';
import type {ManagedProcess} from './managed-process.js';

const STOP_TIMEOUT_MS = 15_000;

/** Stops the groups one after the other, and the processes of a group in parallel. */
export const stopInOrder = async (groups: ReadonlyArray<readonly ManagedProcess[]>): Promise<StopReport> => {
	const unclean: string[] = [];
	for (const group of groups) {
		await Promise.all(group.map(async managed => {
			const code = await managed.stop(STOP_TIMEOUT_MS);
			if (code !== 0) {
				unclean.push(managed.name);
			}
		}));
	}

	return {unclean};
};
