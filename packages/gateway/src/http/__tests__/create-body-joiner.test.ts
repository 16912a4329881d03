import {Buffer} from 'node:buffer';
import {fc, test} from '@fast-check/vitest';
import {expect, it} from 'vitest';
import {createBodyJoiner} from '../create-body-joiner.js';

test.prop([
	fc.array(fc.uint8Array({maxLength: 6000}), {maxLength: 12}),
	fc.option(fc.nat({max: 30_000}), {nil: undefined}),
])('gives all bytes in their order, whatever length was expected', (pieces, expectedBytes) => {
	const joiner = createBodyJoiner(expectedBytes);
	for (const piece of pieces) {
		const size = joiner.sizeWith(piece.length);
		joiner.add(piece);
		expect(size).toBe(joiner.sizeWith(0));
	}

	expect(Buffer.from(joiner.toBytes()).equals(Buffer.concat(pieces))).toBe(true);
});

it('takes no more memory than the expected length', () => {
	const joiner = createBodyJoiner(10_000);
	for (let piece = 0; piece < 10; piece++) {
		joiner.add(new Uint8Array(1000));
	}

	expect(joiner.toBytes().buffer.byteLength).toBe(10_000);
});
