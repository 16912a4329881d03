/**
Decodes one line of the log. A restart decodes all lines, so bytes are not copied
and are converted to text only where necessary.
*/
import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import type {EntryMeta} from './entry-meta.js';

const CHECKSUM_LENGTH = 8;
const HEX_RADIX = 16;
const SPACE = 0x20;
const TAB = 0x09;
const DIGIT_0 = 0x30;
const DIGIT_9 = 0x39;
const LETTER_A = 0x61;
const LETTER_F = 0x66;

/** An entry whose body is parsed only on demand. */
type DecodedEntry<Meta> = {
	readonly meta: Meta;
	readonly readBody: () => unknown;
};

/** Returns the checksum at the start of the line, or NaN if there is none. */
const readChecksum = (line: Uint8Array): number => {
	if (line[CHECKSUM_LENGTH] !== SPACE) {
		return Number.NaN;
	}

	let checksum = 0;
	for (let index = 0; index < CHECKSUM_LENGTH; index++) {
		const character = line[index]!;
		if (character >= DIGIT_0 && character <= DIGIT_9) {
			checksum = (checksum * HEX_RADIX) + character - DIGIT_0;
		} else if (character >= LETTER_A && character <= LETTER_F) {
			checksum = (checksum * HEX_RADIX) + character - LETTER_A + 10;
		} else {
			return Number.NaN;
		}
	}

	return checksum;
};

/** Decodes a line given without its line break. Returns `undefined` if it is malformed or does not match its checksum. */
export const decodeEntry = <Meta = EntryMeta>(line: Uint8Array): DecodedEntry<Meta> | undefined => {
	const start = CHECKSUM_LENGTH + 1;
	if (line.length <= start) {
		return undefined;
	}

	const content = Buffer.from(line.buffer, line.byteOffset + start, line.byteLength - start);
	if (readChecksum(line) !== crc32(content)) {
		return undefined;
	}

	const tab = content.indexOf(TAB);
	if (tab === -1) {
		return undefined;
	}

	return {
		meta: JSON.parse(content.toString('utf8', 0, tab)) as Meta,
		readBody: () => JSON.parse(content.toString('utf8', tab + 1)) as unknown,
	};
};
