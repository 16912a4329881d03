/**
Reads a request's body as JSON.
*/
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Resolves with the parsed body, or `undefined` if it is empty or not valid JSON. */
export const readJsonBody = async (req: IncomingMessage): Promise<unknown> => {
	const chunks: Uint8Array[] = [];
	for await (const chunk of req) {
		chunks.push(chunk as Uint8Array);
	}

	try {
		return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
	} catch {
		return undefined;
	}
};
