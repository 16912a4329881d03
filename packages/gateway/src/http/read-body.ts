/**
Reads the whole body of a request into memory, up to a limit.
*/
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

type ReadBody = {readonly kind: 'whole'; readonly bytes: Uint8Array} | {readonly kind: 'too-large' | 'broken-off'};

/** Stops reading once the body exceeds `maxBytes`. `broken-off`: the connection was lost before the end of the body. */
export const readBody = async (req: IncomingMessage, maxBytes: number): Promise<ReadBody> => new Promise(resolve => {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	const onData = (chunk: Uint8Array): void => {
		bytes += chunk.length;
		if (bytes > maxBytes) {
			req.off('data', onData);
			req.pause();
			resolve({kind: 'too-large'});
			return;
		}

		chunks.push(chunk);
	};

	req.on('data', onData);
	req.on('end', () => {
		resolve({kind: 'whole', bytes: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)});
	});
	req.on('error', () => {
		resolve({kind: 'broken-off'});
	});
	req.on('close', () => {
		resolve({kind: 'broken-off'});
	});
});
