import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createCopyRequestLog} from '../create-copy-request-log.js';

describe('createCopyRequestLog', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	const start = () => {
		const store = {records: 0, syncs: 0};
		const lines: unknown[] = [];
		const counted: string[] = [];
		const requestLog = createCopyRequestLog({
			store: {added: () => store.records, syncs: () => store.syncs},
			log: {
				info(message, fields) {
					lines.push({message, ...fields});
				},
			},
			count: kind => counted.push(kind),
		});
		return {
			store, lines, counted, requestLog,
		};
	};

	it('logs the counts of a period by kind with the records and syncs that they took', () => {
		const {store, lines, counted, requestLog} = start();
		requestLog.record('reserve');
		requestLog.record('reserve');
		requestLog.record('read-missing');
		store.records = 2;
		store.syncs = 1;
		vi.advanceTimersByTime(2000);
		expect(lines).toEqual([{
			message: 'copy requests answered', reserve: 2, 'read-missing': 1, records: 2, syncs: 1, withinMs: 2000,
		}]);
		expect(counted).toEqual(['reserve', 'reserve', 'read-missing']);
	});

	it('starts each period from zero and is silent without requests', () => {
		const {store, lines, requestLog} = start();
		requestLog.record('settle');
		store.records = 5;
		vi.advanceTimersByTime(10_000);
		requestLog.record('read');
		requestLog.close();
		expect(lines).toEqual([
			{
				message: 'copy requests answered', settle: 1, records: 5, syncs: 0, withinMs: 2000,
			},
			{
				message: 'copy requests answered', read: 1, records: 0, syncs: 0, withinMs: 2000,
			},
		]);
	});

	it('counts syncs from zero after a compaction', () => {
		const {store, lines, requestLog} = start();
		store.syncs = 7;
		requestLog.record('settle');
		vi.advanceTimersByTime(2000);
		store.syncs = 1;
		requestLog.record('settle');
		vi.advanceTimersByTime(2000);
		expect(lines).toMatchObject([{syncs: 7}, {syncs: 0}]);
	});
});
