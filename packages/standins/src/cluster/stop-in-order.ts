/**
Stops the processes of a deployment gracefully.
*/
import type {StopReport} from './stop-report.js';
import type {ManagedProcess} from './managed-process.js';

const STOP_TIMEOUT_MS = 15_000;

/** Stops one group after the other, each of them together. */
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
