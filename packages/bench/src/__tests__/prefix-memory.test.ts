import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import {WasteMeter} from '../measure/waste-meter.js';
import {PrefixMemory} from '../sim/prefix-memory.js';

const a = 'p0-a' as ProgramId;
const b = 'p0-b' as ProgramId;

const createMemory = (capacity: number) => {
	const waste = new WasteMeter(1000, capacity);
	const evicted: ProgramId[] = [];
	const memory = new PrefixMemory(capacity, waste, program => {
		evicted.push(program);
	});
	return {memory, waste, evicted};
};

const actionLists = fc.array(fc.record({
	kind: fc.constantFrom('pin', 'unpin', 'insert', 'release'),
	program: fc.constantFrom(a, b, 'p0-c' as ProgramId),
	tokens: fc.integer({min: 1, max: 120}),
}));

test.prop([actionLists])('memory never exceeds its capacity, and `used` is the sum of the tokens held', actions => {
	const {memory} = createMemory(100);
	for (const [now, {kind, program, tokens}] of actions.entries()) {
		if (kind === 'pin') {
			memory.pin(program, tokens, tokens, now);
		} else if (kind === 'insert') {
			memory.insert(program, tokens, now);
		} else {
			memory[kind](program, now);
		}

		const held = [...memory.groups.values()].reduce((sum, group) => sum + group.tokens, 0);
		expect(memory.used).toBe(held);
		expect(held).toBeLessThanOrEqual(100);
	}
});

test('the least recently used idle prefix is evicted first, and its idle time counts as wasted', () => {
	const {memory, waste, evicted} = createMemory(100);
	memory.pin(a, 60, 0, 0);
	memory.unpin(a, 100);
	expect(memory.pin(b, 60, 0, 600)).toBe(true);
	expect(evicted).toEqual([a]);
	expect(waste.share).toBeCloseTo(0.6 * 0.5, 6);
});

test('a prefix that is reused does not count as wasted', () => {
	const {memory, waste} = createMemory(100);
	memory.pin(a, 60, 0, 0);
	memory.unpin(a, 100);
	memory.pin(a, 80, 70, 900);
	expect(waste.share).toBe(0);
});
