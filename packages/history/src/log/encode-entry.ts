/**
Encodes an entry as one line: checksum, space, meta, tab, body. Meta and body are
JSON, which contains no raw tabs or line breaks, so both delimiters can be found
without parsing.
*/
import {Buffer} from 'node:buffer';
import {computeChecksum} from './compute-checksum.js';

/** Returns the line including its line break. */
export const encodeEntry = (meta: unknown, body?: unknown): Uint8Array => {
	const content = Buffer.from(`${JSON.stringify(meta)}\t${JSON.stringify(body ?? null)}`);
	return Buffer.concat([Buffer.from(`${computeChecksum(content)} `), content, Buffer.from('\n')]);
};
