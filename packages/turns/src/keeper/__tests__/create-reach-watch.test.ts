import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {createReachWatch} from '../create-reach-watch.js';

const REQUEST_INTERVAL_MS = 50;

beforeEach(() => {
	vi.useFakeTimers();
});
afterEach(() => {
	vi.useRealTimers();
});

/** Asks as requests do that keep coming; returns how many of them would wait. */
const countWaiting = (watch: ReturnType<typeof createReachWatch>, ms: number): number => {
	let waiting = 0;
	for (let passed = 0; passed < ms; passed += REQUEST_INTERVAL_MS) {
		waiting += watch.isCutOff() ? 0 : 1;
		vi.advanceTimersByTime(REQUEST_INTERVAL_MS);
	}

	return waiting;
};

it('lets only the requests of the first second wait while a process is cut off for ten', () => {
	let isReachable = true;
	const watch = createReachWatch(() => isReachable);
	expect(countWaiting(watch, 1000)).toBe(20);
	isReachable = false;
	expect(countWaiting(watch, 10_000)).toBe(24);
	isReachable = true;
	expect(countWaiting(watch, 1000)).toBe(20);
});

it('lets requests wait for holders that restart, also several times', () => {
	let isReachable = true;
	const watch = createReachWatch(() => isReachable);
	for (let restart = 0; restart < 5; restart++) {
		isReachable = true;
		expect(countWaiting(watch, 200)).toBe(4);
		isReachable = false;
		expect(countWaiting(watch, 1000)).toBe(20);
	}
});

it('waits for the first holders however long they take', () => {
	const watch = createReachWatch(() => false);
	expect(countWaiting(watch, 5000)).toBe(100);
});
