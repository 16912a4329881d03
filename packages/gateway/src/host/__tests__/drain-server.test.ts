import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {drainServer} from '../drain-server.js';

const STOP_WITHIN_MS = 8000;
const CHECK_INTERVAL_MS = 50;
/** The end is preceded by four turns of the event loop, in which waiting requests are read; each takes a millisecond of the clock that tests advance. */
const READING_MS = 4;

beforeEach(() => {
	vi.useFakeTimers();
});
afterEach(() => {
	vi.useRealTimers();
});

/** Returns after how many milliseconds draining ended, with requests that stay active for `activeMs`. */
const drain = async (activeMs: number, areAnswered = false) => {
	const startedAt = performance.now();
	const server = {
		countActive: () => performance.now() - startedAt < activeMs && !(areAnswered && stoppedMs !== undefined) ? 1 : 0, drain: vi.fn<() => void>(), stopListening: vi.fn<() => void>(), closeSilent: vi.fn<() => void>(), countAccepted: () => 0,
	};
	let endedMs: number | undefined;
	let stoppedMs: number | undefined;
	const stopCalls = vi.fn<() => void>(() => {
		stoppedMs = performance.now() - startedAt;
	});
	const waitForEnd = async () => {
		await drainServer(server, STOP_WITHIN_MS, stopCalls);
		endedMs = performance.now() - startedAt;
	};

	void waitForEnd();
	await vi.advanceTimersByTimeAsync(2000);
	expect(server.drain).toHaveBeenCalledOnce();
	expect(server.stopListening).not.toHaveBeenCalled();
	// Setting the system clock meanwhile has no effect.
	vi.setSystemTime(Date.now() + 60_000);
	await vi.advanceTimersByTimeAsync(STOP_WITHIN_MS);
	expect(server.stopListening).toHaveBeenCalled();
	return {endedMs: endedMs!, stoppedMs, stops: stopCalls.mock.calls.length};
};

it('keeps listening until the balancer has taken the process out, even without requests', async () => {
	const {endedMs, stops} = await drain(0);
	expect(endedMs).toBeCloseTo(2300, -2);
	expect(stops).toBe(0);
});

it('ends when the last request ends', async () => {
	const {endedMs, stops} = await drain(5000);
	expect(endedMs).toBeCloseTo(5000, -2);
	expect(stops).toBe(0);
});

it('ends before the kill even if requests are still active', async () => {
	const {endedMs, stops} = await drain(60_000);
	expect(endedMs).toBeCloseTo(7600, -2);
	expect(stops).toBe(1);
});

it('stops the requests that are left a little before, and ends as soon as they are answered', async () => {
	const {endedMs, stoppedMs, stops} = await drain(60_000, true);
	expect(stops).toBe(1);
	expect(stoppedMs).toBeCloseTo(7400, -2);
	expect(endedMs - stoppedMs!).toBeLessThanOrEqual(CHECK_INTERVAL_MS + READING_MS);
});

// Guards against answers that are lost when a busy process comes to its end late.
it('leaves the answers a turn of the loop even if it is past its time', async () => {
	const stopCalls = vi.fn<() => void>();
	let isOver = false;
	const waitForEnd = async () => {
		await drainServer({
			countActive: () => 1, drain() {/* Nothing is checked. */}, stopListening() {/* Nothing is checked. */}, closeSilent() {/* Nothing is checked. */}, countAccepted: () => 0,
		}, 0, stopCalls);
		isOver = true;
	};

	void waitForEnd();
	await vi.advanceTimersByTimeAsync(50);
	expect(stopCalls).toHaveBeenCalledOnce();
	expect(isOver).toBe(false);
	await vi.advanceTimersByTimeAsync(50);
	expect(isOver).toBe(true);
});

// Guards against cut callers at a planned stop: the process ended while a request that it had not yet read lay in the kernel.
it('waits for a request that is read right after the port was closed', async () => {
	let active = 0;
	const server = {
		countActive: () => active,
		drain: vi.fn<() => void>(),
		closeSilent: vi.fn<() => void>(), countAccepted: () => 0,
		stopListening: vi.fn<() => void>().mockImplementationOnce(() => {
			setImmediate(() => {
				active = 1;
			});
		}),
	};
	const onEnd = vi.fn<() => void>();
	const waitForEnd = async () => {
		await drainServer(server, STOP_WITHIN_MS, vi.fn<() => void>());
		onEnd();
	};

	void waitForEnd();
	await vi.advanceTimersByTimeAsync(4000);
	expect(onEnd).not.toHaveBeenCalled();
	active = 0;
	await vi.advanceTimersByTimeAsync(100);
	expect(onEnd).toHaveBeenCalledOnce();
});
