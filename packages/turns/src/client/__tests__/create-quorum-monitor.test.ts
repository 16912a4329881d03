import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {createQuorumMonitor} from '../create-quorum-monitor.js';

const REQUEST_INTERVAL_MS = 50;

beforeEach(() => {
	vi.useFakeTimers();
});
afterEach(() => {
	vi.useRealTimers();
});

/** Simulates a steady flow of requests for `ms`; returns how many of them would wait. */
const countWaiting = (monitor: ReturnType<typeof createQuorumMonitor>, ms: number): number => {
	let waiting = 0;
	for (let passed = 0; passed < ms; passed += REQUEST_INTERVAL_MS) {
		waiting += monitor.cutOffForMs() > 0 ? 0 : 1;
		vi.advanceTimersByTime(REQUEST_INTERVAL_MS);
	}

	return waiting;
};

it('lets only the requests of about the first second wait while the process is cut off for ten', () => {
	let isReachable = true;
	const monitor = createQuorumMonitor(() => isReachable);
	expect(countWaiting(monitor, 1000)).toBe(20);
	isReachable = false;
	expect(countWaiting(monitor, 10_000)).toBe(24);
	isReachable = true;
	expect(countWaiting(monitor, 1000)).toBe(20);
});

it('lets requests wait for restarting holders, also several times in a row', () => {
	let isReachable = true;
	const monitor = createQuorumMonitor(() => isReachable);
	for (let restart = 0; restart < 5; restart++) {
		isReachable = true;
		expect(countWaiting(monitor, 200)).toBe(4);
		isReachable = false;
		expect(countWaiting(monitor, 1000)).toBe(20);
	}
});

it('waits for the first quorum without a time limit', () => {
	const monitor = createQuorumMonitor(() => false);
	expect(countWaiting(monitor, 5000)).toBe(100);
});

it('treats links as dead after a failed round although they still look healthy', () => {
	let heardAt = performance.now();
	const monitor = createQuorumMonitor(withinMs => performance.now() - heardAt <= withinMs);
	expect(countWaiting(monitor, 1000)).toBe(20);
	heardAt = performance.now();
	const startedAt = performance.now();
	expect(countWaiting(monitor, 1200)).toBe(24);
	monitor.recordFailedRound(startedAt);
	expect(countWaiting(monitor, 3000)).toBe(0);
	expect(monitor.isReachable()).toBe(false);
	heardAt = performance.now();
	expect(monitor.isReachable()).toBe(true);
	expect(countWaiting(monitor, 1000)).toBe(20);
});

it('ignores a failed round that had too little time, as near a deadline', () => {
	let heardAt = performance.now();
	const monitor = createQuorumMonitor(withinMs => performance.now() - heardAt <= withinMs);
	expect(monitor.cutOffForMs()).toBe(0);
	heardAt = performance.now();
	const startedAt = performance.now();
	vi.advanceTimersByTime(300);
	monitor.recordFailedRound(startedAt);
	expect(monitor.isReachable()).toBe(true);
});
