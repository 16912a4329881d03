import {
	describe, expect, it, vi,
} from 'vitest';
import {createManualClock} from '../../__tests__/create-manual-clock.js';
import type {UpstreamLimit} from '../upstream-limit.js';
import {createLimitBook} from '../create-limit-book.js';

describe('createLimitBook', () => {
	it('keeps a limit until an answer to a later request names none', () => {
		const clock = createManualClock();
		const book = createLimitBook({now: clock.now});
		const sentBefore = clock.now();
		clock.advance(100);
		book.record('u', 3.4, sentBefore);
		clock.advance(100);
		book.record('u', undefined, sentBefore);
		expect(book.get('u')).toBe(3.4);
		book.record('u', undefined, clock.now());
		expect(book.get('u')).toBeUndefined();
	});

	it('lets the newest statement hold, whoever passes it on and in whatever order', () => {
		const clock = createManualClock();
		const book = createLimitBook({now: clock.now});
		book.merge([{upstream: 'u', perSecond: 2, ageMs: 50}]);
		book.merge([{upstream: 'u', perSecond: 6, ageMs: 400}]);
		expect(book.get('u')).toBe(2);
		book.merge([{upstream: 'u', perSecond: undefined, ageMs: 10}]);
		expect(book.get('u')).toBeUndefined();
		book.merge([{upstream: 'never limited', perSecond: undefined, ageMs: 0}]);
		expect(book.describe('never limited')).toBeUndefined();
	});

	it('spreads through a process that relays, and tells each statement once', () => {
		const clock = createManualClock();
		const [gateway, holder, other] = [1, 2, 3].map(() => createLimitBook({now: clock.now}));
		gateway!.record('u', 5, clock.now());
		const first = gateway!.listAfter(0);
		holder!.merge(first.limits);
		clock.advance(800);
		other!.merge(holder!.listAfter(0).limits);
		expect(other!.get('u')).toBe(5);
		expect(gateway!.listAfter(first.sequence).limits).toEqual([]);
		gateway!.record('u', 5, clock.now());
		expect(gateway!.listAfter(first.sequence).limits).toEqual([]);
		gateway!.record('u', 4, clock.now());
		expect(gateway!.listAfter(first.sequence).limits.map(({perSecond}) => perSecond)).toEqual([4]);
	});

	it('bounds what one heartbeat lists, and leaves nothing out in the end', () => {
		const book = createLimitBook({now: createManualClock().now});
		for (let index = 0; index < 1000; index++) {
			book.record(`u${index}`, 2, 0);
		}

		const told = new Set<string>();
		let sequence = 0;
		for (let heartbeat = 0; heartbeat < 10; heartbeat++) {
			const {limits, sequence: next} = book.listAfter(sequence);
			expect(limits.length).toBeLessThanOrEqual(128);
			for (const {upstream} of limits) {
				told.add(upstream);
			}

			sequence = next;
		}

		expect(told.size).toBe(1000);
	});

	it('tells about changes only, with their source', () => {
		const onChange = vi.fn<(limit: UpstreamLimit, source: string) => void>();
		const book = createLimitBook({now: createManualClock().now, onChange});
		book.record('u', 3, 0);
		book.record('u', 3, 0);
		book.merge([{upstream: 'v', perSecond: 2, ageMs: 0}]);
		expect(onChange.mock.calls.map(([limit, source]: [UpstreamLimit, string]) => `${limit.upstream} ${limit.perSecond} ${source}`)).toEqual(['u 3 answer', 'v 2 process']);
	});
});
