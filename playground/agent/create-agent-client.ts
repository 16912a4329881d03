/**
HTTP client that sends an agent program's requests to the entries. Each request
starts a trace, so that the timeline can match it with its spans.
*/
import {randomBytes} from 'node:crypto';
import {readAnswer} from '@siskinhub/prove/client/read-answer.js';
import {request, type Dispatcher} from 'undici';
import type {TimelineStep} from '../timeline/timeline-step.js';
import type {AgentClient} from './agent-client.js';
import type {AgentCall} from './agent-call.js';

const TRACE_ID_BYTES = 16;
const SPAN_ID_BYTES = 8;
const FIRST_ERROR_STATUS = 300;

type ClientOptions = {
	readonly workspace: string;
	/** Used round-robin, as a load balancer would. */
	readonly entries: ReadonlyArray<{readonly name: string; readonly address: string}>;
	readonly onStep: (step: TimelineStep) => void;
};

const createTraceId = (): string => randomBytes(TRACE_ID_BYTES).toString('hex');

const toTraceparent = (traceId: string): string => `00-${traceId}-${randomBytes(SPAN_ID_BYTES).toString('hex')}-01`;

/** Creates a client for one workspace. */
export const createAgentClient = ({workspace, entries, onStep}: ClientOptions): AgentClient => {
	let next = 0;

	const pickEntry = () => {
		const entry = entries[next % entries.length];
		next++;
		if (!entry) {
			throw new Error('the playground has no entry');
		}

		return entry;
	};

	const send = async (method: 'GET' | 'POST', path: string, body: unknown, traceId: string) => {
		const entry = pickEntry();
		const response = await request(`${entry.address}${path}`, {
			method,
			headers: {
				'siskinhub-workspace': workspace, traceparent: toTraceparent(traceId), ...(body !== undefined && {'content-type': 'application/json'}),
			},
			body: body === undefined ? undefined : JSON.stringify(body),
		});
		return {entry, response};
	};

	const readJson = async (response: Dispatcher.ResponseData): Promise<unknown> => {
		const json = await response.body.json();
		if (response.statusCode >= FIRST_ERROR_STATUS) {
			throw new Error(`the entry answered ${response.statusCode}: ${JSON.stringify(json)}`);
		}

		return json;
	};

	const askJson = async (title: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<unknown> => {
		const traceId = createTraceId();
		const startedAt = Date.now();
		const {entry, response} = await send(method, path, body, traceId);
		const json = await readJson(response);
		onStep({
			title, via: entry.name, traceId, startedAt, endedAt: Date.now(),
		});
		return json;
	};

	const call = async (title: string, {program, ...body}: AgentCall) => {
		const traceId = createTraceId();
		const startedAt = Date.now();
		const {entry, response} = await send('POST', `/v1/programs/${program}/calls`, body, traceId);
		if (response.statusCode >= FIRST_ERROR_STATUS) {
			await readJson(response);
		}

		const {outcome} = await readAnswer(response.body, '', () => {/* Only the final event is needed. */});
		if (outcome.kind !== 'final' || outcome.gap !== undefined) {
			throw new Error(`${title}: the call ended with ${JSON.stringify(outcome)}`);
		}

		onStep({
			title, via: entry.name, traceId, startedAt, endedAt: Date.now(),
		});
		return outcome.text;
	};

	return {
		async startProgram(title, body) {
			const {program} = await askJson(title, 'POST', '/v1/programs', body) as {readonly program: string};
			return program;
		},
		call,
		readHistory: async (title, program) => await askJson(title, 'GET', `/v1/programs/${program}/history`) as Awaited<ReturnType<AgentClient['readHistory']>>,
		async endProgram(title, program) {
			await askJson(title, 'POST', `/v1/programs/${program}/end`);
		},
	};
};
