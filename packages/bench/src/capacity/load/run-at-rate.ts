/**
Starts work at a constant rate, whether or not earlier work has finished (open
loop).
*/
import {setTimeout as sleep} from 'node:timers/promises';

const MS_PER_S = 1000;

/** Resolves with the number of runs once all of them are done; rejects if any failed. */
export const runAtRate = async (perSecond: number, seconds: number, work: (index: number) => Promise<void>): Promise<number> => {
	const count = Math.max(1, Math.round(perSecond * seconds));
	const startedAt = performance.now();
	const pending: Array<Promise<void>> = [];
	for (let index = 0; index < count; index++) {
		const waitMs = startedAt + ((index * MS_PER_S) / perSecond) - performance.now();
		if (waitMs > 1) {
			await sleep(waitMs);
		}

		pending.push(work(index));
	}

	await Promise.all(pending);
	return count;
};
