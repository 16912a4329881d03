/**
Sends one HTTP request with an optional JSON body.
*/
import {request} from 'undici';

const TIMEOUT_MS = 5000;

/** Resolves with the status and the parsed body, whatever the status; rejects if no response is complete within five seconds. */
export const sendJsonRequest = async (method: 'GET' | 'PUT' | 'POST' | 'DELETE', url: string, options: {
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
} = {}): Promise<{readonly status: number; readonly body: unknown}> => {
	const {statusCode, body} = await request(url, {
		method,
		headers: {...options.body !== undefined && {'content-type': 'application/json'}, ...options.headers},
		body: options.body === undefined ? undefined : JSON.stringify(options.body),
		signal: AbortSignal.timeout(TIMEOUT_MS),
	});
	const text = await body.text();
	return {status: statusCode, body: text === '' ? undefined : JSON.parse(text) as unknown};
};
