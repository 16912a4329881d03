/**
Draws arrival times in bursts.
*/
import type {Random} from '@siskinhub/core/decide/random.js';

/** Arrivals come at one of two rates, relative to their mean of 1. */
const BUSY_RATE = 1.9;
const CALM_RATE = 0.7;
const MEAN_BUSY_MS = 180_000;
const MEAN_CALM_MS = 540_000;

type Phase = {readonly startsAt: number; readonly endsAt: number; readonly rate: number};

const drawPhases = (random: Random, windowMs: number): readonly Phase[] => {
	const phases: Phase[] = [];
	let busy = random() < MEAN_BUSY_MS / (MEAN_BUSY_MS + MEAN_CALM_MS);
	for (let startsAt = 0; startsAt < windowMs;) {
		const lengthMs = -Math.log(1 - random()) * (busy ? MEAN_BUSY_MS : MEAN_CALM_MS);
		const endsAt = Math.min(windowMs, startsAt + lengthMs);
		phases.push({startsAt, endsAt, rate: busy ? BUSY_RATE : CALM_RATE});
		startsAt = endsAt;
		busy = !busy;
	}

	return phases;
};

/** Returns `count` arrival times in [0, `windowMs`), ascending. */
export const drawArrivals = (random: Random, count: number, windowMs: number): readonly number[] => {
	const phases = drawPhases(random, windowMs);
	const total = phases.reduce((sum, {startsAt, endsAt, rate}) => sum + ((endsAt - startsAt) * rate), 0);
	const times: number[] = [];
	for (let index = 0; index < count; index++) {
		let rest = random() * total;
		for (const {startsAt, endsAt, rate} of phases) {
			const mass = (endsAt - startsAt) * rate;
			if (rest < mass) {
				times.push(startsAt + (rest / rate));
				break;
			}

			rest -= mass;
		}
	}

	return times.sort((a, b) => a - b);
};
