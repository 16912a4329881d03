/**
One call to the platform's service: a JSON request with a timeout, whose answer
is checked against a schema.
*/
import {err, ok, type Result} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import type * as z from 'zod';
import type {PlatformError} from '../platform-error.js';

type JsonCall<Schema extends z.ZodType> = {
	readonly dispatcher: Dispatcher;
	readonly url: string;
	/** Sent by POST; `undefined` makes it a GET. */
	readonly body: unknown;
	readonly schema: Schema;
	readonly timeoutMs: number;
};

const HTTP_OK = 200;
const HTTP_SERVER_ERROR = 500;

/** Returns the answer, or why there is none that can be read. */
export const postJson = async <Schema extends z.ZodType>({dispatcher, url, body, schema, timeoutMs}: JsonCall<Schema>): Promise<Result<z.infer<Schema>, PlatformError>> => {
	let statusCode: number;
	let text: string;
	try {
		const res = await request(url, {
			dispatcher,
			method: body === undefined ? 'GET' : 'POST',
			...(body !== undefined && {body: JSON.stringify(body), headers: {'content-type': 'application/json'}}),
			signal: AbortSignal.timeout(timeoutMs),
		});
		statusCode = res.statusCode;
		text = await res.body.text();
	} catch (error) {
		return err({kind: 'unavailable', message: `${url} did not answer: ${String(error)}`});
	}

	if (statusCode !== HTTP_OK) {
		const kind = statusCode >= HTTP_SERVER_ERROR ? 'unavailable' : 'malformed';
		return err({kind, message: `${url} answered ${statusCode}: ${text}`});
	}

	try {
		return ok(schema.parse(JSON.parse(text)));
	} catch (error) {
		return err({kind: 'malformed', message: `${url} answered what cannot be read: ${String(error)}`});
	}
};
