/**
Learns after what time an answer of one route and service is slow, from answers that
no copy has shortened.

Load: the answers of a service as they are. A request that was answered by its copy
is known to have waited longer than the quantile, so it counts as endless: if it were
left out, the quantile would fall with each copy, and more would follow.
*/

/** Answers that are kept; older ones are forgotten, so that the quantile follows the load. */
const WINDOW_SIZE = 256;
/** Fewer answers say nothing of the slowest. */
const MIN_ANSWERS = 50;
/** Sorting for each answer would cost more than it tells. */
const ANSWERS_BETWEEN_SORTS = 16;

/** `quantile` in (0, 1). */
export const createWaitWindow = (quantile: number) => {
	const waits: number[] = [];
	let count = 0;
	let sorted: number[] = [];

	const read = (share: number): number => sorted.length >= MIN_ANSWERS ? sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]! : Infinity;

	return {
		/** Counts an answer after `waitMs`, or `Infinity` if a copy came first. */
		record(waitMs: number): void {
			waits[count % WINDOW_SIZE] = waitMs;
			count++;
			if (count % ANSWERS_BETWEEN_SORTS === 0) {
				sorted = [...waits].sort((left, right) => left - right);
			}
		},
		/** Milliseconds after which an answer is slow; `Infinity` while too little is known or too many answers are copies'. */
		slowAfterMs: (): number => read(quantile),
		/** Milliseconds after which half of the answers have come. */
		usualMs: (): number => read(0.5),
	};
};
