/**
Runs work many times with bounded concurrency (closed loop).
*/

/** Resolves when all `count` runs are done; rejects with the first that fails. */
export const runConcurrently = async (count: number, concurrency: number, work: (index: number) => Promise<void>): Promise<void> => {
	let next = 0;
	const runNext = async (): Promise<void> => {
		while (next < count) {
			const index = next;
			next++;
			await work(index);
		}
	};

	await Promise.all(Array.from({length: Math.min(concurrency, count)}, async () => runNext()));
};
