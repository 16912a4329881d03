/**
Sends JSON responses.
*/
import type {ServerResponse} from 'node:http';

/** Sends one JSON body and ends the response. */
export const sendJson = (res: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void => {
	const text = JSON.stringify(body);
	res.writeHead(status, {'content-type': 'application/json; charset=utf-8', ...headers});
	res.end(text);
};
