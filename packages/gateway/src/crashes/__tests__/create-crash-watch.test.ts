import {describe, expect, it} from 'vitest';
import {createManualClock} from '../../__tests__/create-manual-clock.js';
import {createCrashTracker} from '../create-crash-tracker.js';
import {createCrashWatch} from '../create-crash-watch.js';

const createWatch = () => {
	const clock = createManualClock();
	const tracker = createCrashTracker({now: clock.now});
	const watch = createCrashWatch({tracker, now: clock.now});
	return {clock, tracker, watch};
};

describe('createCrashWatch', () => {
	it('counts a request without an answer as a crash only once the start that ran it has ended', () => {
		const {tracker, watch} = createWatch();
		for (const upstream of ['a 1', 'b 1', 'c 1']) {
			watch.recordUnanswered('r', upstream);
		}

		watch.recordEnd('a 1');
		watch.recordEnd('b 1');
		expect(tracker.findBlock('r')).toBeUndefined();
		watch.recordEnd('c 1');
		expect(tracker.findBlock('r')?.length).toBe(3);
	});

	it('does not count one that ended long before the upstream did', () => {
		const {clock, tracker, watch} = createWatch();
		watch.recordUnanswered('r', 'a 1');
		clock.advance(30_000);
		watch.recordEnd('a 1');
		expect(tracker.isEmpty()).toBe(true);
	});

	it('counts a lost connection at once, and a second one at the same start once the list says that it has ended', () => {
		const {tracker, watch} = createWatch();
		watch.recordLost('r', 'a 1');
		watch.recordLost('r', 'a 1');
		watch.recordLost('r', 'a 1');
		expect(tracker.listAfter().crashes.map(({upstream}) => upstream)).toEqual(['a 1']);
		watch.recordEnd('a 1');
		expect(tracker.listAfter().crashes.map(({upstream}) => upstream)).toEqual(['a 1', 'a 1 again']);
	});

	it('blocks nothing while engines that go on let turns wait until their callers leave', () => {
		const {tracker, watch} = createWatch();
		for (let turn = 0; turn < 20_000; turn++) {
			watch.recordUnanswered(`r${turn % 50}`, `engine-${turn % 8} 1`);
		}

		expect(tracker.isEmpty()).toBe(true);
	});
});
