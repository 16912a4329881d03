/**
Computes the median of some numbers.
*/

/** The mean of the two in the middle for an even count. Returns 0 for none. */
export const computeMedian = (values: readonly number[]): number => {
	const sorted = values.toSorted((a, b) => a - b);
	const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
	const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
	return (lower + upper) / 2;
};
