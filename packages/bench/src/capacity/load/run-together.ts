/**
Does many pieces of work, a bounded number at a time.
*/

/** Resolves when all are done. */
export const runTogether = async (count: number, atOnce: number, work: (index: number) => Promise<void>): Promise<void> => {
	let next = 0;
	const runNext = async (): Promise<void> => {
		while (next < count) {
			const index = next;
			next++;
			await work(index);
		}
	};

	await Promise.all(Array.from({length: Math.min(atOnce, count)}, async () => runNext()));
};
