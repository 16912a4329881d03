import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {createLimitLog} from '../create-limit-log.js';

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

it('bounds the lines about changes, and sums up the permits of each period', () => {
	const lines: Array<{msg: string; fields: Record<string, unknown>}> = [];
	const log = createLimitLog({
		info(msg, fields = {}) {
			lines.push({msg, fields});
		},
	});
	for (let index = 0; index < 100; index++) {
		log.recordChange({upstream: 'u 1', perSecond: index, ageMs: 0.4}, 'answer');
		log.countPermit('u 1', index % 4 === 0);
	}

	log.recordChange({upstream: 'u 1', perSecond: undefined, ageMs: 0}, 'process');
	expect(lines.length).toBe(20);
	expect(lines[3]).toEqual({
		msg: 'upstream limit named', fields: {
			upstream: 'u 1', perSecond: 3, source: 'answer', ageMs: 0,
		},
	});
	vi.advanceTimersByTime(3000);
	expect(lines.slice(20)).toEqual([
		{msg: 'changes of upstream limits left out', fields: {count: 81, withinMs: 2000}},
		{msg: 'permits for limited upstreams', fields: {upstreams: 1, withinMs: 2000, permits: ['u 1: 25 granted, 75 denied']}},
	]);
	vi.advanceTimersByTime(10_000);
	expect(lines.length).toBe(22);
});
