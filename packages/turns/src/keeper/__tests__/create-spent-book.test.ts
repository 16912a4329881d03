import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createFakeCluster} from '../../__tests__/create-fake-cluster.js';
import {createSpentBook} from '../create-spent-book.js';

describe('createSpentBook', () => {
	it('refuses only what the ended turns and this one pass for certain', () => {
		const book = createSpentBook();
		book.note('p', 90);
		expect(book.isSpent('p', 10, 100)).toBe(false);
		expect(book.isSpent('p', 11, 100)).toBe(true);
		expect(book.isSpent('p', 11, 200)).toBe(false);
		expect(book.isSpent('other', 100, 100)).toBe(false);
	});

	it('never believes an answer that knows of less', () => {
		const book = createSpentBook();
		book.note('p', 90);
		book.note('p', 10);
		expect(book.isSpent('p', 11, 100)).toBe(true);
	});

	it('stays bounded', () => {
		const book = createSpentBook();
		for (let index = 0; index <= 5000; index++) {
			book.note(`p${index}`, 100);
		}

		expect(book.isSpent('p0', 1, 100)).toBe(false);
		expect(book.isSpent('p5000', 1, 100)).toBe(true);
	});
});

describe('a program that has spent its budget', () => {
	const attempt = (id: string, tokens: number) => ({
		program: 'p', attempt: id, tokens, retentionMs: 600_000,
	});

	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	it('is asked about once, and not at all while a turn under way may still give tokens back', async () => {
		const cluster = createFakeCluster(3);
		await vi.advanceTimersByTimeAsync(8000);
		const keeper = cluster.createKeeper('g');
		const run = async <Value>(promise: Promise<Value>): Promise<Value> => {
			await vi.advanceTimersByTimeAsync(200);
			return promise;
		};

		await run(keeper.reserve({...attempt('a', 60), budget: 100}, 150));
		expect(await run(keeper.reserve({...attempt('b', 60), budget: 100}, 150))).toBe('over-budget');
		await run(keeper.settle(attempt('b', 0), undefined, 150));
		await run(keeper.settle(attempt('a', 60), undefined, 150));
		expect(await run(keeper.reserve({...attempt('c', 60), budget: 100}, 150))).toBe('over-budget');
		await run(keeper.settle(attempt('c', 0), undefined, 150));
		expect(await run(keeper.reserve({...attempt('d', 60), budget: 100}, 150))).toBe('spent');
		expect(await run(keeper.reserve({...attempt('e', 40), budget: 100}, 150))).toBe('reserved');
	});
});
