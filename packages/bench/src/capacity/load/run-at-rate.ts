/**
Starts work at an even rate, whatever the earlier work does.
*/
import {setTimeout as sleep} from 'node:timers/promises';

const MS_PER_S = 1000;

/** Resolves when all work that was started is done, with how many there were; rejects if any failed. */
export const runAtRate = async (perSecond: number, seconds: number, work: (index: number) => Promise<void>): Promise<number> => {
	const count = Math.max(1, Math.round(perSecond * seconds));
	const startedAt = performance.now();
	const started: Array<Promise<void>> = [];
	for (let index = 0; index < count; index++) {
		const waitMs = startedAt + ((index * MS_PER_S) / perSecond) - performance.now();
		if (waitMs > 1) {
			await sleep(waitMs);
		}

		started.push(work(index));
	}

	await Promise.all(started);
	return count;
};
