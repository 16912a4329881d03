/**
Client that sends requests to entries over HTTP.
*/
import {err, ok, type Result} from 'neverthrow';
import {Agent, request as sendHttp} from 'undici';
import type * as z from 'zod';
import type {OperatorClient} from './operator-client.js';
import type {EntryError} from './entry-error.js';
import type {EntryRequest} from './entry-request.js';
import {parseResponse} from './parse-response.js';

type ClientOptions = {
	readonly entries: readonly string[];
	readonly operator: string;
	/** After this time a request counts as lost. */
	readonly timeoutMs?: number;
};

type HttpResponse = {readonly status: number; readonly text: string};

const RESPONSE_TIMEOUT_MS = 15_000;
const CONNECT_TIMEOUT_MS = 3000;
const FIRST_SERVER_ERROR = 500;

/** Codes of errors that occur before any byte of the request is sent. */
const CONNECT_FAILURES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);

const describeFailure = (entry: string, error: unknown): EntryError => {
	const {code, message} = error as NodeJS.ErrnoException;
	const kind = code !== undefined && CONNECT_FAILURES.has(code) ? 'not-sent' : 'lost';
	return {kind, message: `${entry}: ${message === '' ? code ?? 'no answer' : message}`};
};

const shouldTryNext = (error: EntryError): boolean => error.kind !== 'refused' || error.status >= FIRST_SERVER_ERROR;

/** Creates a client whose `ask` tries `entries` in order. */
export const createOperatorClient = ({entries, operator, timeoutMs = RESPONSE_TIMEOUT_MS}: ClientOptions): OperatorClient => {
	const dispatcher = new Agent({connect: {timeout: CONNECT_TIMEOUT_MS}});

	const exchange = async (entry: string, {method, path, body}: Omit<EntryRequest<z.ZodType>, 'schema'>): Promise<Result<HttpResponse, EntryError>> => {
		try {
			const res = await sendHttp(`${entry}${path}`, {
				dispatcher,
				method,
				headers: {'siskinhub-operator': operator, 'content-type': 'application/json'},
				body: body === undefined ? undefined : JSON.stringify(body),
				signal: AbortSignal.timeout(timeoutMs),
			});
			return ok({status: res.statusCode, text: await res.body.text()});
		} catch (error) {
			return err(describeFailure(entry, error));
		}
	};

	const send: OperatorClient['send'] = async (entry, request) => {
		const response = await exchange(entry, request);
		return response.andThen(({status, text}) => parseResponse(entry, status, text, request.schema));
	};

	const ask: OperatorClient['ask'] = async request => {
		let lastError: EntryError = {kind: 'not-sent', message: 'no entry is configured'};
		for (const entry of entries) {
			const response = await send(entry, request);
			if (response.isOk() || !shouldTryNext(response.error)) {
				return response;
			}

			lastError = response.error;
		}

		return err(lastError);
	};

	return {entries, send, ask};
};
