import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import {createRandom} from '../create-random.js';
import {createRetryBudget} from '../create-retry-budget.js';
import {decideRetry} from '../decide-retry.js';
import {decideCrashIsolation} from '../decide-crash-isolation.js';
import {creditFirstAttempt} from '../credit-first-attempt.js';
import type {FailedAttempt} from '../failed-attempt.js';

const failed: FailedAttempt = {
	attempts: 1, fate: 'failed', idempotent: true, deadlineMs: 30_000,
};

test.prop([fc.integer({min: 0, max: 5000}), fc.integer()])('when every attempt fails, retries stay within the initial tokens plus a tenth of the first attempts', (attempts, seed) => {
	const random = createRandom(seed);
	let budget = createRetryBudget();
	let retries = 0;
	for (let index = 0; index < attempts; index++) {
		budget = creditFirstAttempt(budget);
		for (let attempt = 1; ; attempt++) {
			const outcome = decideRetry({...failed, attempts: attempt}, budget, random);
			budget = outcome.budget;
			if (!outcome.retry) {
				break;
			}

			retries++;
		}
	}

	expect(retries).toBeLessThanOrEqual(10 + (attempts * 0.1) + 1e-6);
});

test.prop([fc.constantFrom('failed', 'unknown'), fc.integer({min: 1, max: 9}), fc.integer()])('a non-idempotent call that may have run is never retried', (fate, attempts, seed) => {
	const outcome = decideRetry({
		...failed, fate, attempts, idempotent: false,
	}, {tokens: 100}, createRandom(seed));
	expect(outcome.retry).toBe(false);
});

test.prop([fc.nat(60_000), fc.nat(60_000), fc.integer()])('a retry waits at least the requested delay and starts before the deadline', (retryAfterMs, deadlineMs, seed) => {
	const outcome = decideRetry({...failed, retryAfterMs, deadlineMs}, {tokens: 100}, createRandom(seed));
	expect(!outcome.retry || (outcome.afterMs >= retryAfterMs && outcome.afterMs < deadlineMs)).toBe(true);
});

test('a call runs alone after a crash, and is quarantined if it crashes the upstream alone', () => {
	expect(decideCrashIsolation({shared: 0, alone: 0})).toBe('normal');
	expect(decideCrashIsolation({shared: 1, alone: 0})).toBe('alone');
	expect(decideCrashIsolation({shared: 1, alone: 1})).toBe('quarantine');
});
