import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import type {CallHead} from '../../call/call-head.js';
import {createActiveCalls} from '../create-active-calls.js';

beforeEach(() => {
	vi.useFakeTimers();
});
afterEach(() => {
	vi.useRealTimers();
});

const createCall = (id: string): CallHead => ({
	id: id as RequestId, method: 'POST', path: '/', host: 'h', headers: [],
});

it('lists the requests in flight with their phases, the oldest first, whatever the system clock does', () => {
	const calls = createActiveCalls();
	let isStarted = false;
	const first = calls.begin(createCall('r1'), {isStarted: () => isStarted}, Date.now());
	vi.advanceTimersByTime(300);
	vi.setSystemTime(Date.now() - 60_000);
	const second = calls.begin(createCall('r2'), {isStarted: () => false}, Date.now());
	vi.advanceTimersByTime(200);
	first.phase = 'passed-on';
	first.wasPassedOn = true;
	expect(calls.list()).toEqual([
		{
			call: createCall('r1'), phase: 'passed-on', wasPassedOn: true, ageMs: 500,
		},
		{
			call: createCall('r2'), phase: 'reading-body', wasPassedOn: false, ageMs: 200,
		},
	]);
	isStarted = true;
	calls.end(second);
	expect(calls.list()).toMatchObject([{phase: 'answering', wasPassedOn: true}]);
	calls.end(first);
	expect(calls.list()).toEqual([]);
});
