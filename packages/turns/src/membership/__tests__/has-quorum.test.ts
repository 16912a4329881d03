import {fc, test} from '@fast-check/vitest';
import {describe, expect, it} from 'vitest';
import {countQuorum} from '../count-quorum.js';
import {hasQuorum} from '../has-quorum.js';
import type {HolderList} from '../holder-list.js';

const createHolders = (ids: readonly string[]) => ids.map(diskId => ({
	diskId, host: `host-${diskId}`, address: '', dataCentre: '',
}));
const createIds = (count: number) => Array.from({length: count}, (_, index) => String.fromCodePoint(97 + index));

describe('countQuorum', () => {
	it.each([
		[1, 1, 2, 1], [2, 1, 2, 1], [3, 1, 2, 2], [4, 1, 3, 2], [5, 2, 3, 3], [11, 2, 6, 6],
	])('with %i holders and %i losses writes to %i and reads from %i', (count, losses, write, read) => {
		expect(countQuorum(count, losses)).toEqual({write, read});
	});

	test.prop([fc.integer({min: 1, max: 15}), fc.integer({min: 0, max: 3})])('a read overlaps every write, two writes overlap, and a write survives the losses', (count, losses) => {
		const {write, read} = countQuorum(count, losses);
		expect(write + read).toBeGreaterThan(count);
		expect(write * 2).toBeGreaterThan(count);
		expect(write).toBeGreaterThan(losses);
	});
});

describe('hasQuorum', () => {
	const disk = fc.constantFrom('a', 'b', 'c', 'd', 'e');
	const setOf = fc.uniqueArray(disk, {minLength: 2, maxLength: 5});

	test.prop([setOf, setOf, fc.uniqueArray(disk), fc.uniqueArray(disk)])('reads under the old and the new list see what was written while the list was changing', (current, next, written, read) => {
		const joint: HolderList = {version: 2, current: createHolders(current), next: createHolders(next)};
		fc.pre(hasQuorum(joint, 'write', new Set(written), 1));
		for (const list of [{version: 1, current: createHolders(current)}, {version: 3, current: createHolders(next)}]) {
			if (hasQuorum(list, 'read', new Set(read), 1)) {
				expect(read.some(diskId => written.includes(diskId))).toBe(true);
			}
		}
	});

	it('needs a quorum of both lists while there are two', () => {
		const joint: HolderList = {version: 2, current: createHolders(createIds(3)), next: createHolders(['a', 'b', 'x'])};
		expect(hasQuorum(joint, 'write', new Set(['a', 'c']), 1)).toBe(false);
		expect(hasQuorum(joint, 'write', new Set(['a', 'b']), 1)).toBe(true);
	});
});
