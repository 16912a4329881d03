/**
Learns how fast each upstream of a service reads prompts and sends the parts of an
answer, from the calls that this process sends there anyway.

Expected load: upstreams of one service that differ by a factor of three for good,
and each by as much for moments. The time between two parts of an answer tells the
speed of an upstream and how many calls run there, those of other processes
included, which is all that matters to the next call. Each start of an upstream is
learned anew; one of which little is known is taken for the median of the others,
so that it is neither flooded nor starved.
*/
import {computeMedian} from './compute-median.js';
import {createLearnedDifference} from './create-learned-difference.js';
import {createRunningMean} from './create-running-mean.js';

/**
Prompt tokens that an upstream that reads as fast as the others is taken to read in a millisecond. Only how upstreams
differ is learned: with the speed of the service itself, even upstreams would be chosen in another way than without it.
*/
const START_TOKENS_PER_MS = 40;
/** Shorter prompts tell nothing of the time that reading takes. */
const MIN_READ_TOKENS = 512;
/** Reading that seems to take less took no time: another process had the prompt read before. */
const MIN_READ_MS = 1;
/** Parts of an answer whose intervals make one sample; fewer if the answer has no more. */
const SAMPLED_PARTS = 8;
const MIN_SAMPLED_PARTS = 3;
/** Weight of a new sample in what is usual for the service. */
const USUAL_WEIGHT = 0.02;
/** Weight of a new answer in the mean number of parts. */
const PARTS_WEIGHT = 0.05;
const UPSTREAM_HALF_LIFE_MS = 4000;
/** How long the median of the upstreams is kept. */
const MEDIAN_AGE_MS = 500;

/** For the upstreams of one service; `now` returns milliseconds that never go back. */
export const createSpeedTracker = (now: () => number) => {
	const intervals = new Set<ReturnType<typeof createLearnedDifference>>();
	// Logarithms of the usual milliseconds between two parts, and of the usual tokens that are read in a millisecond.
	const usualInterval = createRunningMean(USUAL_WEIGHT);
	const usualReading = createRunningMean(USUAL_WEIGHT);
	const meanParts = createRunningMean(PARTS_WEIGHT);
	let median = 0;
	let medianAt = -Infinity;

	const readMedian = (): number => {
		if (now() >= medianAt + MEDIAN_AGE_MS) {
			medianAt = now();
			median = computeMedian([...intervals].filter(each => each.isKnown()).map(each => each.estimate()));
		}

		return median;
	};

	return {
		/** Begins to learn one start of an upstream. */
		track() {
			const interval = createLearnedDifference(UPSTREAM_HALF_LIFE_MS, now);
			const reading = createLearnedDifference(UPSTREAM_HALF_LIFE_MS, now);
			intervals.add(interval);

			return {
				/** Prompt tokens that the upstream is taken to read in a millisecond. */
				tokensPerMs: () => START_TOKENS_PER_MS * Math.exp(reading.estimate()),
				/** Milliseconds by which an answer takes longer here, once it has begun, than is usual for the service; negative if less. */
				extraMs(): number {
					const usualLogMs = usualInterval.read();
					if (usualLogMs === undefined) {
						return 0;
					}

					const difference = interval.isKnown() ? interval.estimate() : readMedian();
					return (meanParts.read() ?? 0) * Math.exp(usualLogMs) * (Math.exp(difference) - 1);
				},
				/** Takes the time for which reading so many tokens of a prompt delayed an answer. */
				recordReading(tokens: number, readMs: number): void {
					if (tokens >= MIN_READ_TOKENS && readMs >= MIN_READ_MS) {
						const logTokensPerMs = Math.log(tokens / readMs);
						reading.record(logTokensPerMs - usualReading.record(logTokensPerMs));
					}
				},
				/** Follows an answer: to be called with each part. */
				followAnswer() {
					let parts = 0;
					let unsampled = 0;
					let sampledAt = now();
					let lastAt = sampledAt;
					const takeSample = (): void => {
						const logMs = Math.log(Math.max(1, (lastAt - sampledAt) / unsampled));
						sampledAt = lastAt;
						unsampled = 0;
						interval.record(logMs - usualInterval.record(logMs));
					};

					return {
						receive(): void {
							parts++;
							unsampled++;
							lastAt = now();
							if (unsampled === SAMPLED_PARTS) {
								takeSample();
							}
						},
						/** The answer is whole. The time since the last part, in which its turn is stored, does not count. */
						finish(): void {
							if (parts === unsampled && unsampled >= MIN_SAMPLED_PARTS) {
								takeSample();
							}

							if (parts > 0) {
								meanParts.record(parts);
							}
						},
					};
				},
				/** The upstream is gone. */
				stop(): void {
					intervals.delete(interval);
				},
			};
		},
	};
};
