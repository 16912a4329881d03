import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createFakeCluster} from '../../__tests__/create-fake-cluster.js';
import {createSpentBudgetCache} from '../create-spent-budget-cache.js';

describe('createSpentBudgetCache', () => {
	it('refuses only if settled turns and this one exceed the budget for certain', () => {
		const cache = createSpentBudgetCache();
		cache.update('p', 90);
		expect(cache.isSpent('p', 10, 100)).toBe(false);
		expect(cache.isSpent('p', 11, 100)).toBe(true);
		expect(cache.isSpent('p', 11, 200)).toBe(false);
		expect(cache.isSpent('other', 100, 100)).toBe(false);
	});

	it('ignores a smaller sum than the cached one', () => {
		const cache = createSpentBudgetCache();
		cache.update('p', 90);
		cache.update('p', 10);
		expect(cache.isSpent('p', 11, 100)).toBe(true);
	});

	it('refuses only for a while, so that the holders hear of the program again', () => {
		vi.useFakeTimers();
		const cache = createSpentBudgetCache();
		cache.update('p', 90);
		vi.advanceTimersByTime(9999);
		expect(cache.isSpent('p', 11, 100)).toBe(true);
		vi.advanceTimersByTime(1);
		expect(cache.isSpent('p', 11, 100)).toBe(false);
		vi.useRealTimers();
	});

	it('evicts the oldest program when it is full', () => {
		const cache = createSpentBudgetCache();
		for (let index = 0; index <= 5000; index++) {
			cache.update(`p${index}`, 100);
		}

		expect(cache.isSpent('p0', 1, 100)).toBe(false);
		expect(cache.isSpent('p5000', 1, 100)).toBe(true);
	});
});

describe('reserve for a program that has spent its budget', () => {
	const attempt = (id: string, tokens: number) => ({
		program: 'p', attempt: id, tokens, retentionMs: 600_000,
	});

	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	it('refuses from the cache only once settled turns alone have spent it', async () => {
		const cluster = createFakeCluster(3);
		await vi.advanceTimersByTimeAsync(8000);
		const client = cluster.createClient('g');
		const run = async <Value>(promise: Promise<Value>): Promise<Value> => {
			await vi.advanceTimersByTimeAsync(200);
			return promise;
		};

		await run(client.reserve({...attempt('a', 60), budget: 100}, 150));
		const countRequests = async (name: string): Promise<number> => {
			const before = cluster.requests;
			expect(await run(client.reserve({...attempt(name, 60), budget: 100}, 150))).toBe('spent');
			return cluster.requests - before;
		};

		expect(await countRequests('b')).toBeGreaterThan(0);
		await run(client.settle(attempt('a', 60), undefined, 150));
		expect(await countRequests('c')).toBeGreaterThan(0);
		expect(await countRequests('d')).toBe(0);
		expect(await run(client.reserve({...attempt('e', 40), budget: 100}, 150))).toBe('reserved');
	});
});
