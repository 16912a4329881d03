import {fc, test} from '@fast-check/vitest';
import {describe, expect, it} from 'vitest';
import type {AnswerShare} from '../answer-memory.js';
import {createAnswerMemory} from '../create-answer-memory.js';

const TOTAL_BYTES = 1000;
const MIN_BYTES = 10;
const ANSWERS = 12;

const createMemory = () => createAnswerMemory({totalBytes: TOTAL_BYTES, minBytes: MIN_BYTES});
const share: AnswerShare = {limitBytes: 400, partOfFree: 1 / 2};

describe('createAnswerMemory', () => {
	it('gives one answer its limit, and each of many less', () => {
		const memory = createMemory();
		expect(memory.open().tryHold(400, share)).toBe(true);
		expect(memory.open().tryHold(400, share)).toBe(false);
		expect(memory.open().tryHold(300, share)).toBe(true);
		expect(memory.open().allowance(share)).toBe(150);
	});

	it('gives each answer the minimum, whatever the others hold, and lets it become less', () => {
		const memory = createMemory();
		const greedy = memory.open();
		greedy.hold(5000);
		expect(memory.open().tryHold(MIN_BYTES, share)).toBe(true);
		expect(memory.open().tryHold(MIN_BYTES + 1, share)).toBe(false);
		expect(greedy.tryHold(4000, share)).toBe(true);
		expect(memory.heldBytes()).toBe(4000 + MIN_BYTES);
	});

	it('holds nothing for what has been released', () => {
		const memory = createMemory();
		const holding = memory.open();
		holding.hold(100);
		holding.release();
		holding.release();
		holding.hold(100);
		expect(memory.heldBytes()).toBe(0);
	});

	const change = fc.record({answer: fc.nat(ANSWERS - 1), bytes: fc.nat(600), partOfFree: fc.constantFrom(1 / 8, 1 / 2, 1)});

	// Guards against a process that runs out of memory with answers each of which is within its limit.
	test.prop([fc.array(change, {maxLength: 200})])('never lets all answers together pass the total and their minima, and gets everything back', changes => {
		const memory = createMemory();
		const holdings = Array.from({length: ANSWERS}, () => memory.open());
		for (const {answer, bytes, partOfFree} of changes) {
			holdings[answer]!.tryHold(bytes, {limitBytes: 500, partOfFree});
			expect(memory.heldBytes()).toBeLessThanOrEqual(TOTAL_BYTES + (MIN_BYTES * ANSWERS));
		}

		for (const holding of holdings) {
			holding.release();
		}

		expect(memory.heldBytes()).toBe(0);
	});
});
