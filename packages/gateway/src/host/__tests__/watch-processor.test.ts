import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {watchProcessor} from '../watch-processor.js';

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

describe('watchProcessor', () => {
	it('writes a line a second while the event loop is busy, until it is told to stop', () => {
		const state = {queueMs: 12.4, utilization: 0.957};
		const warn = vi.fn();
		const gauges = new Map<string, () => number>();
		const stopping = new AbortController();
		watchProcessor({
			loop: {read: () => state}, metrics: {addGauge: (name, _help, read) => gauges.set(name, read)}, log: {warn}, signal: stopping.signal,
		});
		vi.advanceTimersByTime(2000);
		expect(warn.mock.calls).toEqual(Array.from({length: 2}, () => ['copy holder short of processor time', {utilization: 0.96, queueMs: 12}]));
		expect(gauges.get('siskinhub_queue_seconds')?.()).toBeCloseTo(0.0124);
		state.utilization = 0.5;
		vi.advanceTimersByTime(2000);
		state.utilization = 1;
		stopping.abort();
		vi.advanceTimersByTime(2000);
		expect(warn).toHaveBeenCalledTimes(2);
	});
});
