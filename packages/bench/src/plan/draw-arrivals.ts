/**
Draws arrival times of programs. Busy and quiet phases of random length
alternate, so that arrivals come in bursts.
*/
import type {Random} from '@siskinhub/core/decide/random.js';

/** Arrival rates of the two kinds of phase, relative to a mean of 1 over time. */
const BUSY_RATE = 1.9;
const QUIET_RATE = 0.7;
const MEAN_BUSY_MS = 180_000;
const MEAN_QUIET_MS = 540_000;

type Phase = {readonly startsAt: number; readonly endsAt: number; readonly rate: number};

const drawPhases = (random: Random, windowMs: number): readonly Phase[] => {
	const phases: Phase[] = [];
	let isBusy = random() < MEAN_BUSY_MS / (MEAN_BUSY_MS + MEAN_QUIET_MS);
	for (let startsAt = 0; startsAt < windowMs;) {
		const lengthMs = -Math.log(1 - random()) * (isBusy ? MEAN_BUSY_MS : MEAN_QUIET_MS);
		const endsAt = Math.min(windowMs, startsAt + lengthMs);
		phases.push({startsAt, endsAt, rate: isBusy ? BUSY_RATE : QUIET_RATE});
		startsAt = endsAt;
		isBusy = !isBusy;
	}

	return phases;
};

/** Returns `count` arrival times in [0, `windowMs`), ascending. */
export const drawArrivals = (random: Random, count: number, windowMs: number): readonly number[] => {
	const phases = drawPhases(random, windowMs);
	const total = phases.reduce((sum, {startsAt, endsAt, rate}) => sum + ((endsAt - startsAt) * rate), 0);
	const times: number[] = [];
	for (let index = 0; index < count; index++) {
		let remaining = random() * total;
		for (const {startsAt, endsAt, rate} of phases) {
			const phaseTotal = (endsAt - startsAt) * rate;
			if (remaining < phaseTotal) {
				times.push(startsAt + (remaining / rate));
				break;
			}

			remaining -= phaseTotal;
		}
	}

	return times.sort((a, b) => a - b);
};
