import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {drainServer} from '../drain-server.js';

const STOP_WITHIN_MS = 8000;

beforeEach(() => {
	vi.useFakeTimers();
});
afterEach(() => {
	vi.useRealTimers();
});

/** Returns after how many milliseconds draining ended, with requests that stay active for `activeMs`. */
const drain = async (activeMs: number) => {
	const startedAt = performance.now();
	const server = {
		countActive: () => performance.now() - startedAt < activeMs ? 1 : 0, drain: vi.fn<() => void>(), stopListening: vi.fn<() => void>(),
	};
	let endedMs: number | undefined;
	const waitForEnd = async () => {
		await drainServer(server, STOP_WITHIN_MS);
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
	return endedMs!;
};

it('keeps listening until the balancer has taken the process out, even without requests', async () => {
	expect(await drain(0)).toBeCloseTo(2300, -2);
});

it('ends when the last request ends', async () => {
	expect(await drain(5000)).toBeCloseTo(5000, -2);
});

it('ends before the kill even if requests are still active', async () => {
	expect(await drain(60_000)).toBeCloseTo(7600, -2);
});

// Guards against cut callers at a planned stop: the process ended while a request that it had not yet read lay in the kernel.
it('waits for a request that is read right after the port was closed', async () => {
	let active = 0;
	const server = {
		countActive: () => active,
		drain: vi.fn<() => void>(),
		stopListening: vi.fn<() => void>().mockImplementationOnce(() => {
			setImmediate(() => {
				active = 1;
			});
		}),
	};
	const onEnd = vi.fn<() => void>();
	const waitForEnd = async () => {
		await drainServer(server, STOP_WITHIN_MS);
		onEnd();
	};

	void waitForEnd();
	await vi.advanceTimersByTimeAsync(4000);
	expect(onEnd).not.toHaveBeenCalled();
	active = 0;
	await vi.advanceTimersByTimeAsync(100);
	expect(onEnd).toHaveBeenCalledOnce();
});
