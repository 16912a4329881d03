/**
Runs asynchronous functions one after the other.
*/

/** Returns a function that starts `run` when all earlier ones have ended. */
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
