/**
Learns by which factor something differs from what is expected of it, from samples
that come anyway.

Expected load: a few noisy samples a second, with moments in which all of them are
several times too high. A sample counts only as far as it lies near what was learned
before, so that one moment tells little, and what was learned counts only as far as
it exceeds the noise of the samples: things that are even stay even. It fades while
no samples come, since what was slow is hardly used any more.
*/

/** Weight of a new sample once there are enough. */
const NEWEST_WEIGHT = 0.06;
/** Samples that a mean with this weight stands for. */
const MAX_SAMPLES = (2 / NEWEST_WEIGHT) - 1;
/** Fewer samples tell nothing. */
const MIN_SAMPLES = 6;
/** Farthest that a sample counts from what was learned, as a logarithm. */
const MAX_STEP = 0.7;
/** Greatest difference that is learned, as a logarithm: a factor of four. */
const MAX_DIFFERENCE = Math.log(4);
/** Differences below this are no differences, as a logarithm. */
const MIN_DIFFERENCE = 0.1;
/** Mean deviations, by the root of the samples, that a difference must exceed. Not fewer, since several samples may come from one answer. */
const CONFIDENCE = 3;

const clamp = (value: number, most: number): number => Math.max(-most, Math.min(most, value));

/** `halfLifeMs` is the time in which what was learned halves without a sample; `now` returns milliseconds that never go back. */
export const createLearnedDifference = (halfLifeMs: number, now: () => number) => {
	let samples = 0;
	let mean = 0;
	let deviation = 0;
	let sampledAt = 0;

	const fade = (): number => 0.5 ** ((now() - sampledAt) / halfLifeMs);

	return {
		/** Takes the logarithm of the factor by which a sample differed. */
		record(difference: number): void {
			mean *= fade();
			sampledAt = now();
			samples = Math.min(MAX_SAMPLES, samples + 1);
			const step = clamp(difference - mean, MAX_STEP);
			const weight = Math.max(NEWEST_WEIGHT, 1 / samples);
			deviation += weight * (Math.abs(step) - deviation);
			mean = clamp(mean + (weight * step), MAX_DIFFERENCE);
		},
		/** Whether there are enough samples to tell a difference. */
		isKnown: () => samples >= MIN_SAMPLES,
		/** The logarithm of the learned factor; 0 while nothing is known and while it may be noise, in full from twice the noise on. */
		estimate(): number {
			if (samples < MIN_SAMPLES) {
				return 0;
			}

			const noise = Math.max(MIN_DIFFERENCE, CONFIDENCE * deviation / Math.sqrt(samples));
			// First, since it holds for most: this is asked for each upstream with each choice.
			const distance = Math.abs(mean);
			return distance <= noise ? 0 : mean * Math.min(1, (distance / noise) - 1) * fade();
		},
	};
};
