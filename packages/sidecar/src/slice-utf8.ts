/**
Slices a text at a byte offset of its UTF-8 encoding.
*/
import {Buffer} from 'node:buffer';

const CONTINUATION_MASK = 0b1100_0000;
const CONTINUATION_BITS = 0b1000_0000;

type Slice = {
	/** Byte at which the slice begins: the first byte of a character, at or before the requested offset. */
	readonly offset: number;
	readonly text: string;
};

/** Returns the text from `offset` on, moved back to the start of a character if necessary. */
export const sliceUtf8 = (text: string, offset: number): Slice => {
	const bytes = Buffer.from(text);
	let start = Math.min(offset, bytes.length);
	// eslint-disable-next-line no-bitwise -- UTF-8 marks continuation bytes by their two highest bits.
	while (start > 0 && start < bytes.length && ((bytes[start] ?? 0) & CONTINUATION_MASK) === CONTINUATION_BITS) {
		start--;
	}

	return {offset: start, text: bytes.subarray(start).toString()};
};
