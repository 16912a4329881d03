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

/** `activeMs`: how long requests stay under way. */
const drain = async (activeMs: number) => {
	const startedAt = performance.now();
	const server = {
		countActive: () => performance.now() - startedAt < activeMs ? 1 : 0, drain: vi.fn<() => void>(), stopListening: vi.fn<() => void>(),
	};
	let endedMs: number | undefined;
	const watch = async () => {
		await drainServer(server, STOP_WITHIN_MS);
		endedMs = performance.now() - startedAt;
	};

	void watch();
	await vi.advanceTimersByTimeAsync(2000);
	expect(server.drain).toHaveBeenCalledOnce();
	expect(server.stopListening).not.toHaveBeenCalled();
	// A clock that is set meanwhile changes nothing.
	vi.setSystemTime(Date.now() + 60_000);
	await vi.advanceTimersByTimeAsync(STOP_WITHIN_MS);
	expect(server.stopListening).toHaveBeenCalled();
	return endedMs!;
};

it('goes on listening until the balancer has noticed, also without requests', async () => {
	expect(await drain(0)).toBeCloseTo(2300, -2);
});

it('ends with the last request', async () => {
	expect(await drain(5000)).toBeCloseTo(5000, -2);
});

it('ends before the kill whatever is under way', async () => {
	expect(await drain(60_000)).toBeCloseTo(7600, -2);
});
