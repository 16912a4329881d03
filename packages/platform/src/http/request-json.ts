/**
Makes one HTTP call to the platform's service, with a timeout, and validates the
JSON response against a schema.
*/
import {err, ok, type Result} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import type * as z from 'zod';
import type {PlatformError} from '../platform-error.js';

type JsonRequest<Schema extends z.ZodType> = {
	readonly dispatcher: Dispatcher;
	readonly url: string;
	/** JSON body of a POST request; a GET request is made if `undefined`. */
	readonly body: unknown;
	readonly schema: Schema;
	readonly timeoutMs: number;
};

const HTTP_OK = 200;
const HTTP_SERVER_ERROR = 500;

/** Returns the parsed response. A timeout, a failed connection or a status from 500 on is `unavailable`; any other status than 200 or an invalid body is `malformed`. */
export const requestJson = async <Schema extends z.ZodType>({dispatcher, url, body, schema, timeoutMs}: JsonRequest<Schema>): Promise<Result<z.infer<Schema>, PlatformError>> => {
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
