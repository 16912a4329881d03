import type {Logger} from '@siskinhub/observe/logger.js';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createCallLog} from '../create-call-log.js';

type Line = {readonly msg: string; readonly fields: Record<string, unknown>};

const createFakeLog = () => {
	const lines: Line[] = [];
	const addLine = (msg: string, fields: Record<string, unknown> = {}): void => {
		lines.push({msg, fields});
	};

	const log: Logger = {
		trace: addLine, debug: addLine, info: addLine, warn: addLine, error: addLine, child: () => log,
	};
	return {lines, log};
};

describe('createCallLog', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	it('always logs non-routine requests and counts the routine ones it omits', async () => {
		const {lines, log} = createFakeLog();
		const calls = createCallLog(log);
		for (let index = 0; index < 200; index++) {
			calls.write({requestId: `plain-${index}`}, true);
			calls.write({requestId: `refused-${index}`}, false);
		}

		await vi.advanceTimersByTimeAsync(1000);
		const ids = lines.filter(({msg}) => msg === 'call').map(({fields}) => String(fields.requestId));
		expect(ids.filter(id => id.startsWith('refused')).length).toBe(200);
		expect(ids.filter(id => id.startsWith('plain')).length).toBe(40);
		expect(lines.at(-1)).toEqual({msg: 'calls left out', fields: {count: 160, withinMs: 1000, outcome: 'done'}});
	});

	it('logs every request and writes no summary under low load', async () => {
		const {lines, log} = createFakeLog();
		const calls = createCallLog(log);
		for (let second = 0; second < 5; second++) {
			for (let index = 0; index < 40; index++) {
				calls.write({}, true);
			}

			await vi.advanceTimersByTimeAsync(1000);
		}

		expect(lines.length).toBe(200);
	});

	it('writes the pending summary on close', () => {
		const {lines, log} = createFakeLog();
		const calls = createCallLog(log);
		for (let index = 0; index < 41; index++) {
			calls.write({}, true);
		}

		calls.close();
		expect(lines.at(-1)).toMatchObject({msg: 'calls left out', fields: {count: 1}});
		expect(vi.getTimerCount()).toBe(0);
	});
});
