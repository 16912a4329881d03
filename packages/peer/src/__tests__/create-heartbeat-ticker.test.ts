import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createHeartbeatTicker} from '../create-heartbeat-ticker.js';

const INTERVAL_MS = 800;

describe('createHeartbeatTicker', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	// Guards against SHORT: a holder at rest was woken for each of its links, 84 times a second with 27 links.
	it('has one timer, however many links there are', () => {
		const ticker = createHeartbeatTicker(INTERVAL_MS);
		const ticked = vi.fn();
		const ends = Array.from({length: 27}, () => ticker.add(ticked));
		expect(vi.getTimerCount()).toBe(1);
		vi.advanceTimersByTime(INTERVAL_MS);
		expect(ticked).toHaveBeenCalledTimes(27);
		for (const end of ends) {
			end();
		}

		expect(vi.getTimerCount()).toBe(0);
	});

	it('tells a link that is added later, and none that another has ended in the same tick', () => {
		const ticker = createHeartbeatTicker(INTERVAL_MS);
		const ended = vi.fn();
		ticker.add(() => {
			endOther();
		});
		const endOther = ticker.add(ended);
		vi.advanceTimersByTime(INTERVAL_MS / 2);
		const later = vi.fn();
		ticker.add(later);
		vi.advanceTimersByTime(INTERVAL_MS / 2);
		expect(ended).not.toHaveBeenCalled();
		expect(later).toHaveBeenCalledTimes(1);
	});
});
