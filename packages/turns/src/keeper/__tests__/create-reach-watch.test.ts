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
		waiting += watch.cutOffForMs() > 0 ? 0 : 1;
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

it('knows from a round without answers that links are dead which still look sound', () => {
	let heardAt = performance.now();
	const watch = createReachWatch(withinMs => performance.now() - heardAt <= withinMs);
	expect(countWaiting(watch, 1000)).toBe(20);
	heardAt = performance.now();
	const startedAt = performance.now();
	expect(countWaiting(watch, 1200)).toBe(24);
	watch.noteFailedRound(startedAt);
	expect(countWaiting(watch, 3000)).toBe(0);
	expect(watch.isReachable()).toBe(false);
	heardAt = performance.now();
	expect(watch.isReachable()).toBe(true);
	expect(countWaiting(watch, 1000)).toBe(20);
});

it('takes no round for a proof that had less time, as one near its deadline has', () => {
	let heardAt = performance.now();
	const watch = createReachWatch(withinMs => performance.now() - heardAt <= withinMs);
	expect(watch.cutOffForMs()).toBe(0);
	heardAt = performance.now();
	const startedAt = performance.now();
	vi.advanceTimersByTime(300);
	watch.noteFailedRound(startedAt);
	expect(watch.isReachable()).toBe(true);
});
