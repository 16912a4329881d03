/**
Sends a JSON response.
*/
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';

/** Writes the status and the body and ends the response. */
export const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
	const text = JSON.stringify(body);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	res.end(text);
};
