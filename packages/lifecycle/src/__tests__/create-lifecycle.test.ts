/**
Load: an operator or supervisor that sends control signals at any moment, again and
beside one another, while requests are in flight.
*/
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import type {Logger} from '@siskinhub/observe/logger.js';
import {createLifecycle} from '../create-lifecycle.js';
import type {ControlSignal} from '../control-signal.js';

const STOP_WITHIN_MS = 8000;
const DRAIN_MS = 3000;
const EXIT_SOFTWARE = 70;

type Line = {readonly msg: string; readonly fields: Readonly<Record<string, unknown>> | undefined};

beforeEach(() => {
	vi.useFakeTimers();
});
afterEach(() => {
	vi.useRealTimers();
});

/** A lifecycle whose daemon takes `drainMs` to stop; `exits` holds each exit code with the time at which the process ended. */
const createSubject = ({drainMs = DRAIN_MS, flush = async () => {/* Everything is written. */}}: {readonly drainMs?: number; readonly flush?: () => Promise<void>} = {}) => {
	const startedAt = performance.now();
	const lines: Line[] = [];
	const exits: Array<{readonly exitCode: number; readonly atMs: number}> = [];
	const stops: number[] = [];
	const record = (msg: string, fields?: Readonly<Record<string, unknown>>): void => {
		lines.push({msg, fields});
	};

	const log: Logger = {
		trace: record, debug: record, info: record, warn: record, error: record, child: () => log,
	};
	const lifecycle = createLifecycle({
		log, stopWithinMs: STOP_WITHIN_MS, flush, exit(exitCode) {
			exits.push({exitCode, atMs: Math.round(performance.now() - startedAt)});
		},
	});
	return {
		...lifecycle,
		lines,
		exits,
		/** For each call of the daemon's `stop`, the milliseconds that it was given. */
		stops,
		signal(signal: ControlSignal): void {
			lifecycle.receiveSignal({signal, atMs: performance.now()});
		},
		run(): void {
			lifecycle.markRunning({
				countActive: () => 2,
				async stop(withinMs) {
					stops.push(Math.round(withinMs));
					await new Promise(resolve => {
						setTimeout(resolve, drainMs);
					});
					return 0;
				},
			});
		},
		ending: () => lines.find(({msg}) => msg === 'process ending')?.fields,
	};
};

it('stops once, however often it is told to', async () => {
	const subject = createSubject();
	subject.run();
	subject.signal('SIGTERM');
	await vi.advanceTimersByTimeAsync(700);
	subject.signal('SIGTERM');
	subject.signal('SIGINT');
	await vi.advanceTimersByTimeAsync(DRAIN_MS * 3);
	expect(subject.stops).toEqual([STOP_WITHIN_MS]);
	expect(subject.exits).toEqual([{exitCode: 0, atMs: DRAIN_MS}]);
	expect(subject.ending()).toMatchObject({
		reason: 'SIGTERM', exitCode: 0, active: 2, stopMs: DRAIN_MS,
	});
});

it('goes on after SIGHUP, in every phase', async () => {
	const subject = createSubject();
	subject.signal('SIGHUP');
	subject.run();
	subject.signal('SIGHUP');
	await vi.advanceTimersByTimeAsync(STOP_WITHIN_MS * 2);
	expect(subject.exits).toEqual([]);
	subject.signal('SIGTERM');
	subject.signal('SIGHUP');
	await vi.advanceTimersByTimeAsync(STOP_WITHIN_MS * 2);
	expect(subject.exits).toMatchObject([{exitCode: 0}]);
	expect(subject.lines.filter(({msg}) => msg === 'signal received').map(({fields}) => fields!.phase)).toEqual(['starting', 'running', 'running', 'stopping']);
});

it('meets a request to stop that came during the start, within the time since it came', async () => {
	const subject = createSubject();
	subject.signal('SIGTERM');
	await vi.advanceTimersByTimeAsync(1000);
	expect(subject.exits).toEqual([]);
	subject.run();
	await vi.advanceTimersByTimeAsync(DRAIN_MS);
	expect(subject.stops).toEqual([STOP_WITHIN_MS - 1000]);
	expect(subject.exits).toEqual([{exitCode: 0, atMs: 1000 + DRAIN_MS}]);
});

it('ends before the kill if the stop hangs or the start does', async () => {
	const hangingStop = createSubject({drainMs: STOP_WITHIN_MS * 10});
	hangingStop.run();
	hangingStop.signal('SIGTERM');
	const hangingStart = createSubject();
	hangingStart.signal('SIGTERM');
	await vi.advanceTimersByTimeAsync(STOP_WITHIN_MS);
	expect(hangingStop.exits[0]!.atMs).toBeLessThan(STOP_WITHIN_MS);
	expect(hangingStart.exits[0]!.atMs).toBeLessThan(STOP_WITHIN_MS);
});

it('does not wait for a reader of the log that has stopped', async () => {
	const subject = createSubject({flush: async () => new Promise(() => {/* Never written. */})});
	subject.run();
	subject.signal('SIGTERM');
	await vi.advanceTimersByTimeAsync(STOP_WITHIN_MS);
	expect(subject.exits[0]!.atMs).toBeLessThan(DRAIN_MS + 500);
});

it('stops as planned after an uncaught error, and says so in line and exit code', async () => {
	const subject = createSubject();
	subject.run();
	subject.receiveError(new Error('nobody expected this'), 'uncaughtException');
	subject.signal('SIGTERM');
	subject.receiveError(new Error('nor this'), 'unhandledRejection');
	await vi.advanceTimersByTimeAsync(STOP_WITHIN_MS);
	expect(subject.stops).toHaveLength(1);
	expect(subject.exits).toEqual([{exitCode: EXIT_SOFTWARE, atMs: DRAIN_MS}]);
	expect(subject.ending()).toMatchObject({reason: 'uncaught error', uncaughtErrors: 2});
});

it('ends at once if the start fails', async () => {
	const subject = createSubject();
	subject.markFailed(new Error('the address is taken'));
	await vi.advanceTimersByTimeAsync(0);
	expect(subject.exits).toEqual([{exitCode: EXIT_SOFTWARE, atMs: 0}]);
});

it('takes a start that is given up because of a request to stop for a planned end', async () => {
	const subject = createSubject();
	subject.signal('SIGTERM');
	subject.markFailed(new Error('told to stop while waiting'));
	await vi.advanceTimersByTimeAsync(0);
	expect(subject.exits).toEqual([{exitCode: 0, atMs: 0}]);
});
