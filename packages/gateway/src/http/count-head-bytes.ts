/**
Counts the bytes of a request's head as it was sent.
*/
import type {IncomingMessage} from 'node:http';

/** `: ` and the line break of a header, or the two spaces and the line break of the first line. */
const SEPARATOR_BYTES = 4;
const VERSION_BYTES = 'HTTP/1.1'.length;

/** Headers are ASCII, so their characters are counted. */
export const countHeadBytes = ({method = '', url = '', rawHeaders}: Pick<IncomingMessage, 'method' | 'url' | 'rawHeaders'>): number => {
	let bytes = method.length + url.length + VERSION_BYTES + SEPARATOR_BYTES;
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		bytes += rawHeaders[index]!.length + rawHeaders[index + 1]!.length + SEPARATOR_BYTES;
	}

	return bytes;
};
