import {expect, it} from 'vitest';
import {chooseTurnRetryDelay} from '../choose-turn-retry-delay.js';

const LEAVES_ROTATION_AFTER_MS = 2000;
/** A caller makes two attempts at a turn and begins the turn three times. */
const ATTEMPTS = 6;

/** Whether a program whose first attempt came then meets another process before its attempts are spent. */
const isServed = (firstAt: number, retryAfterMs: (cutOffForMs: number) => number): boolean => {
	let at = firstAt;
	for (let attempt = 1; attempt <= ATTEMPTS; attempt++) {
		if (at >= LEAVES_ROTATION_AFTER_MS) {
			return true;
		}

		at += retryAfterMs(at);
	}

	return false;
};

const firstAttempts = [1, 100, 400, 800, 1200, 1600, 1900];

it('brings callers through until the balancer sends them elsewhere', () => {
	expect(firstAttempts.filter(at => isServed(at, chooseTurnRetryDelay))).toEqual(firstAttempts);
	expect(firstAttempts.filter(at => isServed(at, () => 300))).not.toEqual(firstAttempts);
});

it('sends callers elsewhere at once when new connections get there', () => {
	expect(chooseTurnRetryDelay(5000)).toBe(100);
});

it('asks callers back soon where holders may be reached', () => {
	expect(chooseTurnRetryDelay(0)).toBe(300);
});
