/**
Estimates how many requests of one workspace come to this gateway.
*/

const MEMORY_MS = 2000;
const MS_PER_S = 1000;

/** Times are on one monotonic clock, in milliseconds. */
export const createDemandMeter = () => {
	let weight = 0;
	let lastAt = -Infinity;

	const decay = (now: number): number => weight * Math.exp((lastAt - now) / MEMORY_MS);

	return {
		/** Counts a request, whether it may run or not. */
		record(now: number): void {
			weight = (weight === 0 ? 0 : decay(now)) + 1;
			lastAt = now;
		},
		/** Requests a second of late. */
		perSecond: (now: number): number => weight === 0 ? 0 : decay(now) * MS_PER_S / MEMORY_MS,
		/** Milliseconds since the last request. */
		idleMs: (now: number): number => now - lastAt,
	};
};
