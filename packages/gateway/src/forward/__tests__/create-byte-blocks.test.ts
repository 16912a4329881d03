import {Buffer} from 'node:buffer';
import {fc, test} from '@fast-check/vitest';
import {describe, expect, it} from 'vitest';
import {createByteBlocks} from '../create-byte-blocks.js';

const KIBIBYTE = 1024;
/** As much as a block may have left over. */
const MAX_SPARE_BYTES = 16 * KIBIBYTE;

describe('createByteBlocks', () => {
	test.prop([fc.array(fc.uint8Array({maxLength: 3000}), {maxLength: 40})])('returns all bytes in order, from not much more memory than they need', pieces => {
		const blocks = createByteBlocks();
		for (const piece of pieces) {
			blocks.append(piece);
		}

		const all = Buffer.concat(pieces);
		expect(blocks.size()).toBe(all.length);
		expect(blocks.lastByte()).toBe(all.at(-1));
		expect(blocks.capacity()).toBeLessThanOrEqual((2 * all.length) + 256);
		expect(Buffer.from(blocks.copy()).equals(all)).toBe(true);
		expect(Buffer.concat(blocks.take()).equals(all)).toBe(true);
		expect([blocks.size(), blocks.capacity(), blocks.take()]).toEqual([0, 0, []]);
	});

	// Guards against a body in pieces of one byte, of which each cost an object and kept all of the read in which it came.
	it('keeps neither the pieces nor what they are a part of', () => {
		const blocks = createByteBlocks();
		const read = Buffer.alloc(64 * KIBIBYTE, 'x');
		for (let offset = 0; offset < read.length; offset++) {
			blocks.append(read.subarray(offset, offset + 1));
		}

		expect(blocks.capacity()).toBeLessThanOrEqual(read.length + MAX_SPARE_BYTES);
		const taken = blocks.take();
		expect(taken.length).toBeLessThan(20);
		expect(taken.some(block => block.buffer === read.buffer)).toBe(false);
	});
});
