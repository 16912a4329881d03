/**
Cuts a text at a byte offset of its UTF-8 form.
*/
import {Buffer} from 'node:buffer';

const CONTINUATION_MASK = 0b1100_0000;
const CONTINUATION_MARK = 0b1000_0000;

type Slice = {
	/** Byte at which the slice truly begins: the first of a character, at or before the one asked for. */
	readonly offset: number;
	readonly text: string;
};

/** Returns what follows `offset` bytes of the text, without splitting a character. */
export const sliceUtf8 = (text: string, offset: number): Slice => {
	const bytes = Buffer.from(text);
	let start = Math.min(offset, bytes.length);
	// eslint-disable-next-line no-bitwise -- UTF-8 marks continuation bytes by their two highest bits.
	while (start > 0 && start < bytes.length && ((bytes[start] ?? 0) & CONTINUATION_MASK) === CONTINUATION_MARK) {
		start--;
	}

	return {offset: start, text: bytes.subarray(start).toString()};
};
