import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import type {AdmissionView} from '../admission-view.js';
import {decideAdmission} from '../decide-admission.js';

const busy: AdmissionView = {
	startsProgram: true, deadlineMs: 30_000, slots: 8, running: 8, callMs: 5000, programMs: 40_000, queued: 0, rowQueued: 0, rowQueuedStarts: 0, rowInFlight: 0, rowShare: 1,
};

const views = fc.record({
	startsProgram: fc.boolean(),
	deadlineMs: fc.nat(60_000),
	slots: fc.integer({min: 1, max: 32}),
	running: fc.nat(32),
	callMs: fc.integer({min: 1, max: 60_000}),
	programMs: fc.integer({min: 60_000, max: 600_000}),
	queued: fc.nat(200),
	rowQueued: fc.integer({min: 100, max: 200}),
	rowQueuedStarts: fc.nat(100),
	rowInFlight: fc.nat(200),
	rowShare: fc.double({min: 0.01, max: 1, noNaN: true}),
});

test.prop([views])('a refusal has a code and a retry delay', view => {
	decideAdmission(view).mapErr(refusal => {
		expect(refusal.code).toBe('not-run');
		expect(refusal.retryAfterMs).toBeGreaterThan(0);
	});
});

test.prop([views])('a call is never refused for overload while a slot is free', view => {
	expect(decideAdmission({...view, running: 0, queued: 0}).isOk()).toBe(true);
});

test.prop([views])('a call that continues a program is admitted wherever a start is', view => {
	const starts = decideAdmission({...view, startsProgram: true}).isOk();
	expect(!starts || decideAdmission({...view, startsProgram: false}).isOk()).toBe(true);
});

test.prop([views, fc.nat(200)])('a row that is refused at some backlog is refused at any longer one', (view, more) => {
	const refused = decideAdmission(view).isErr();
	const longer = {...view, rowQueued: view.rowQueued + more, queued: view.queued + more};
	expect(!refused || decideAdmission(longer).isErr()).toBe(true);
});

test('a row that floods the queue is refused while an idle row is admitted', () => {
	expect(decideAdmission({
		...busy, queued: 100, rowQueued: 100, rowShare: 0.5,
	}).isErr()).toBe(true);
	expect(decideAdmission({
		...busy, queued: 100, rowQueued: 0, rowShare: 0.5,
	}).isOk()).toBe(true);
});

test('the row\'s own limit has a separate code', () => {
	expect(decideAdmission({...busy, rowInFlight: 3, rowConcurrency: 3})._unsafeUnwrapErr().code).toBe('limit-reached');
});
