/**
Reads the beginning of a refusal's body, for a log line. The rest is not read: a faulty
upstream may send it without end.
*/
import type {Readable} from 'node:stream';

const MAX_CHARACTERS = 200;

/** Returns at most 200 characters, of the first bytes that come; `body` is destroyed. */
export const readReason = async (body: Readable): Promise<string> => {
	const first = await body[Symbol.asyncIterator]().next() as IteratorResult<Uint8Array>;
	// An error of what is not read any more concerns nobody.
	body.on('error', () => {/* It is destroyed. */}).destroy();
	return first.done ? '' : new TextDecoder().decode(first.value).slice(0, MAX_CHARACTERS);
};
