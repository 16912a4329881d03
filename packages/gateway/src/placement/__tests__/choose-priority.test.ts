import {describe, expect, it} from 'vitest';
import {choosePriority} from '../choose-priority.js';

const OBJECTIVE_MS = 200;
/** An engine reads one prompt at a time. */
const READ_MS = 15;
/** From the prompt read to the program's end, where this is its last turn. */
const REST_MS = 150;

type Turn = {readonly finishInMs: number; readonly isLast: boolean};

/** Turns that end in time if the engine takes them in this order. */
const countInTime = (turns: readonly Turn[]): number => turns.filter(({finishInMs, isLast}, place) =>
	isLast && ((place + 1) * READ_MS) + REST_MS <= finishInMs).length;

const priorityOf = ({finishInMs}: Turn): number => choosePriority({rank: 1, objectiveMs: OBJECTIVE_MS, finishInMs});

describe('choosePriority', () => {
	it('finishes more programs in time when twenty turns come at once after a restart', () => {
		// Programs under way lost a second; others have just begun or were late before.
		const turns: Turn[] = Array.from({length: 20}, (_, index) => [
			{finishInMs: 2400, isLast: false},
			{finishInMs: 260 + (5 * index), isLast: true},
			{finishInMs: -400, isLast: true},
			{finishInMs: 1900, isLast: false},
		][index % 4]!);
		const inOrder = turns.toSorted((a, b) => priorityOf(a) - priorityOf(b));
		expect(turns.filter(({finishInMs, isLast}) => isLast && finishInMs > 0)).toHaveLength(5);
		expect(countInTime(turns)).toBeLessThan(5);
		expect(countInTime(inOrder)).toBe(5);
	});

	it('keeps the ranks of routes apart whatever time is left', () => {
		const times = [-1000, 0, 1, 500, 5000, undefined];
		const urgent = times.map(finishInMs => choosePriority({rank: 0, objectiveMs: OBJECTIVE_MS, finishInMs}));
		const others = times.map(finishInMs => choosePriority({rank: 1, objectiveMs: OBJECTIVE_MS, finishInMs}));
		expect(Math.max(...urgent)).toBeLessThan(Math.min(...others));
	});

	it('stays within what engines take', () => {
		expect(choosePriority({rank: 0, objectiveMs: OBJECTIVE_MS, finishInMs: 1})).toBe(1);
		expect(choosePriority({rank: 7, objectiveMs: OBJECTIVE_MS, finishInMs: -1})).toBe(9);
	});

	it('treats a program that names no time like one that has enough', () => {
		expect(choosePriority({rank: 1, objectiveMs: OBJECTIVE_MS})).toBe(choosePriority({rank: 1, objectiveMs: OBJECTIVE_MS, finishInMs: 10_000}));
	});
});
