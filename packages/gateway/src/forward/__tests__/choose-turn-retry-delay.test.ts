import {expect, it} from 'vitest';
import {chooseTurnRetryDelay} from '../choose-turn-retry-delay.js';

const LEAVES_ROTATION_AFTER_MS = 2000;
/** A caller starts a turn three times, with two attempts each. */
const MAX_ATTEMPTS = 6;

/** Whether a program whose first attempt was made at `firstAt` reaches another process before its attempts are used up. */
const isServed = (firstAt: number, retryAfterMs: (cutOffForMs: number) => number): boolean => {
	let at = firstAt;
	for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
		if (at >= LEAVES_ROTATION_AFTER_MS) {
			return true;
		}

		at += retryAfterMs(at);
	}

	return false;
};

const firstAttempts = [1, 100, 400, 800, 1200, 1600, 1900];

it('spreads the attempts until the load balancer sends callers to another process', () => {
	expect(firstAttempts.filter(at => isServed(at, chooseTurnRetryDelay))).toEqual(firstAttempts);
	expect(firstAttempts.filter(at => isServed(at, () => 300))).not.toEqual(firstAttempts);
});

it('lets callers retry almost at once when new connections reach another process', () => {
	expect(chooseTurnRetryDelay(5000)).toBe(100);
});

it('lets callers retry soon while the holders may be reachable', () => {
	expect(chooseTurnRetryDelay(0)).toBe(300);
});
