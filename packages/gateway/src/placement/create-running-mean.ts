/**
Keeps a mean in which new values weigh more than old ones, and the first ones alike.
*/

/** `newestWeight` is the weight of a new value once there are many, from 0 to 1. */
export const createRunningMean = (newestWeight: number) => {
	let count = 0;
	let mean = 0;

	return {
		/** Returns the mean with the new value. */
		record(value: number): number {
			count++;
			mean += Math.max(newestWeight, 1 / count) * (value - mean);
			return mean;
		},
		/** `undefined` before the first value. */
		read: (): number | undefined => count > 0 ? mean : undefined,
	};
};
