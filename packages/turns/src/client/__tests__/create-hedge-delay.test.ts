import {expect, it} from 'vitest';
import {createHedgeDelay} from '../create-hedge-delay.js';

/** Returns the share of rounds that would ask all holders. */
const countHedged = (durations: readonly number[]): number => {
	const hedge = createHedgeDelay();
	let hedged = 0;
	for (const durationMs of durations) {
		hedged += durationMs > hedge.delayMs() ? 1 : 0;
		hedge.record(durationMs);
	}

	return hedged / durations.length;
};

it('does not ask all holders in each round while every answer is slow', () => {
	const slow = Array.from({length: 500}, (_, index) => 60 + ((index * 37) % 60));
	expect(countHedged(slow)).toBeLessThan(0.05);
});

it('asks the others soon if one holder in five hangs while the rest is fast', () => {
	const hedge = createHedgeDelay();
	for (let round = 0; round < 200; round++) {
		hedge.record(round % 5 === 0 ? hedge.delayMs() + 5 : 5);
	}

	expect(hedge.delayMs()).toBeLessThanOrEqual(60);
});

it('never waits longer than a request can spare', () => {
	const hedge = createHedgeDelay();
	for (let round = 0; round < 100; round++) {
		hedge.record(5000);
	}

	expect(hedge.delayMs()).toBe(400);
});
