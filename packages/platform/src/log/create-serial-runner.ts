/**
Serializes asynchronous functions, so that at most one of them runs at a time.
*/

/** Returns a function that calls `run` after all earlier calls have succeeded or failed, and passes on its result. */
export const createSerialRunner = (): <Value>(run: () => Promise<Value>) => Promise<Value> => {
	let last: Promise<unknown> = Promise.resolve();

	const runAfter = async <Value>(earlier: Promise<unknown>, run: () => Promise<Value>) => {
		await earlier;
		return run();
	};

	return async run => {
		const result = runAfter(last, run);
		last = Promise.allSettled([result]);
		return result;
	};
};
