/**
HTTP routes that start, resume and cancel the runs of an engine stand-in.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';
import {readJsonBody} from '../http/read-json-body.js';
import type {StandInRoute} from '../http/stand-in-route.js';
import {sendJson} from '../http/send-json.js';
import {completionRequestSchema} from './completion-request-schema.js';
import {createEngineRun} from './create-engine-run.js';
import type {Engine} from './engine.js';
import {parsePrompt} from './parse-prompt.js';
import {readFencingNumber} from './read-fencing-number.js';
import {sendFenced} from './send-fenced.js';
import {streamRun} from './stream-run.js';

const CONTINUATION_BYTE_MASK = 0b1100_0000;
const CONTINUATION_BYTE = 0b1000_0000;

/** Whether the byte at `from` continues a UTF-8 character. */
const isInsideCharacter = (output: Uint8Array, from: number): boolean =>
	from < output.length && ((output[from] ?? 0) & CONTINUATION_BYTE_MASK) === CONTINUATION_BYTE; // eslint-disable-line no-bitwise

const handleCompletion = async (engine: Engine, req: IncomingMessage, res: ServerResponse): Promise<void> => {
	const parsed = completionRequestSchema.safeParse(await readJsonBody(req));
	if (!parsed.success || parsed.data.model !== engine.options.model) {
		sendJson(res, parsed.success ? 404 : 400, {error: {message: parsed.error?.message ?? 'no such model'}});
		return;
	}

	const {data} = parsed;
	const requestId = String(req.headers['x-request-id'] ?? `anonymous-${Date.now()}-${Math.random()}`);
	const group = String(req.headers['x-cache-group'] ?? requestId);
	const fencingNumber = readFencingNumber(req);
	if (!engine.fence(group, fencingNumber)) {
		sendFenced(res);
		return;
	}

	const prompt = parsePrompt(data.messages);
	const {faults, options, cache} = engine;
	const run = createEngineRun(prompt, {
		engine: options.name ?? options.model,
		requestId,
		group,
		fencingNumber,
		priority: data.priority,
		maxTokens: data.max_tokens,
		heldTokens: cache.get(group),
		crashes: faults.crashOn !== '' && prompt.text.includes(faults.crashOn),
		variesAnswers: options.variesAnswers,
	});
	engine.start(run);
	streamRun(run, res, 0, faults.cutStreamAt);
};

const resumeStream = (engine: Engine, requestId: string, from: number, res: ServerResponse): void => {
	const run = engine.runs.get(requestId);
	if (!run) {
		sendJson(res, 404, {error: {message: 'no such stream'}});
	} else if (from > run.output.length || isInsideCharacter(run.output, from)) {
		sendJson(res, 416, {error: {message: `the answer has ${run.output.length} bytes and ${from} is no character's first byte`}});
	} else {
		streamRun(run, res, from, -1);
	}
};

/** `POST /v1/chat/completions`, `GET` and `DELETE /streams/REQUEST`. */
export const createStreamRoutes = (engine: Engine): StandInRoute[] => [
	{
		method: 'POST',
		pattern: /^\/v1\/chat\/completions$/v,
		handle: async ({req, res}) => handleCompletion(engine, req, res),
	},
	{
		method: 'GET',
		pattern: /^\/streams\/([^\/]+)$/v,
		handle({res, params, url}) {
			resumeStream(engine, params[0] ?? '', Number(url.searchParams.get('from') ?? 0), res);
		},
	},
	{
		method: 'DELETE',
		pattern: /^\/streams\/([^\/]+)$/v,
		handle({req, res, params}) {
			const run = engine.runs.get(params[0] ?? '');
			if (!run) {
				sendJson(res, 404, {error: {message: 'no such stream'}});
			} else if (engine.fence(run.record.group, readFencingNumber(req))) {
				engine.cancel(run);
				sendJson(res, 200, {cancelled: run.fate === 'cancelled', outputTokens: run.generatedTokens});
			} else {
				sendFenced(res);
			}
		},
	},
];
