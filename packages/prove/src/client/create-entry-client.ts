/**
Creates a client of the entries that records each request as an operation.
*/
import type {RefusalCode} from '@siskinhub/core/refusal/refusal-code.js';
import {Agent, request, type Dispatcher} from 'undici';
import type {Operation} from '../history/operation.js';
import type {Recorder} from '../history/recorder.js';
import type {ClientCall} from './client-call.js';
import type {CallResult} from './call-result.js';
import type {EntryClient} from './entry-client.js';
import type {EntryTarget} from './entry-target.js';
import {readAnswer} from './read-answer.js';

const SILENCE_TIMEOUT_MS = 6000;
const HTTP_OK_LIMIT = 300;

type Outcome = NonNullable<Operation['outcome']>;
type RequestOptions = {readonly method: 'GET' | 'POST' | 'DELETE'; readonly path: string; readonly body?: unknown};

const readRefusal = async (response: Dispatcher.ResponseData): Promise<Outcome> => {
	const {code, message} = await response.body.json() as {code: RefusalCode; message: string};
	return {kind: 'refused', code, message};
};

/** A request whose connection stays silent for six seconds is recorded as cut. */
export const createEntryClient = (recorder: Recorder, workspace: string): EntryClient => {
	const dispatcher = new Agent({
		headersTimeout: SILENCE_TIMEOUT_MS, bodyTimeout: SILENCE_TIMEOUT_MS, connect: {timeout: SILENCE_TIMEOUT_MS}, connections: 256,
	});

	const send = async (entry: EntryTarget, {method, path, body}: RequestOptions): Promise<Dispatcher.ResponseData> => request(`${entry.address}${path}`, {
		method,
		dispatcher,
		headers: {'siskinhub-workspace': workspace, ...body !== undefined && {'content-type': 'application/json'}},
		body: body === undefined ? undefined : JSON.stringify(body),
	});

	const perform = async (entry: EntryTarget, given: Partial<Operation> & Pick<Operation, 'kind'>, options: RequestOptions): Promise<Operation> => {
		const open = recorder.invoke({...given, via: entry.name});
		try {
			const response = await send(entry, options);
			open.complete(response.statusCode < HTTP_OK_LIMIT ? {kind: 'done', value: await response.body.json()} : await readRefusal(response));
		} catch (error) {
			open.complete({kind: 'cut', message: String(error)});
		}

		return open.operation;
	};

	const stream = async (entry: EntryTarget, given: Partial<Operation> & Pick<Operation, 'kind'>, options: RequestOptions, received: string): Promise<CallResult> => {
		const open = recorder.invoke({...given, via: entry.name});
		try {
			const response = await send(entry, options);
			if (response.statusCode >= HTTP_OK_LIMIT) {
				open.complete(await readRefusal(response));
				return {operation: open.operation, text: received};
			}

			const {outcome, text} = await readAnswer(response.body, received, open.accept);
			open.complete(outcome);
			return {operation: open.operation, text};
		} catch (error) {
			open.complete({kind: 'cut', message: String(error)});
			return {operation: open.operation, text: received};
		}
	};

	const describeCall = ({program, mark, turn, isIdempotent, maxOutputTokens}: ClientCall) => ({
		program, mark, turn, isIdempotent, maxOutputTokens,
	});

	return {
		startProgram: async (entry, body, alias) => perform(entry, {kind: 'start', detail: alias}, {method: 'POST', path: '/v1/programs', body}),
		async call(entry, call) {
			const {program, mark, turn, isIdempotent, ...rest} = call;
			return stream(entry, {kind: 'call', ...describeCall(call)}, {
				method: 'POST',
				path: `/v1/programs/${program}/calls`,
				body: {
					turn, requestId: mark, idempotent: isIdempotent, ...rest,
				},
			}, '');
		},
		attach: async (entry, call, received) => stream(entry, {kind: 'attach', ...describeCall(call)}, {
			method: 'GET',
			path: `/v1/programs/${call.program}/calls/${call.mark}?offset=${new TextEncoder().encode(received).length}`,
		}, received),
		readHistory: async (entry, program, alias) => perform(entry, {kind: 'history', program, detail: alias}, {method: 'GET', path: `/v1/programs/${program}/history`}),
		endProgram: async (entry, program) => perform(entry, {kind: 'end', program}, {method: 'POST', path: `/v1/programs/${program}/end`}),
		async close() {
			await dispatcher.destroy();
		},
	};
};
