/**
Writes an entry as one line: checksum, space, meta, tab, body. JSON text holds
neither raw tabs nor raw line breaks, so both can be found without parsing.
*/
import {Buffer} from 'node:buffer';
import {checksumOf} from './checksum-of.js';

/** Returns the line with its line break. */
export const encodeEntry = (meta: unknown, body?: unknown): Uint8Array => {
	const content = Buffer.from(`${JSON.stringify(meta)}\t${JSON.stringify(body ?? null)}`);
	return Buffer.concat([Buffer.from(`${checksumOf(content)} `), content, Buffer.from('\n')]);
};
