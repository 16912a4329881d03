/**
Reads one line of the log.
*/
import {Buffer} from 'node:buffer';
import {checksumOf} from './checksum-of.js';
import type {EntryMeta} from './entry-meta.js';

const PREFIX_LENGTH = 9;
const TAB = 0x09;

/** An entry whose body is parsed only on demand. */
type DecodedEntry<Meta> = {
	readonly meta: Meta;
	readonly readBody: () => unknown;
};

/** Returns `undefined` if the line, given without its line break, does not match its checksum. */
export const decodeEntry = <Meta = EntryMeta>(line: Uint8Array): DecodedEntry<Meta> | undefined => {
	const content = Buffer.from(line.buffer, line.byteOffset, line.byteLength).subarray(PREFIX_LENGTH);
	const prefix = Buffer.from(line.subarray(0, PREFIX_LENGTH)).toString('latin1');
	const tab = content.indexOf(TAB);
	if (tab === -1 || prefix !== `${checksumOf(content)} `) {
		return undefined;
	}

	return {
		meta: JSON.parse(content.toString('utf8', 0, tab)) as Meta,
		readBody: () => JSON.parse(content.toString('utf8', tab + 1)) as unknown,
	};
};
