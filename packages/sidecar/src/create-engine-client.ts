/**
HTTP client of a model engine: streams chat completions as server-sent events,
resumes and cancels streams, and lists and releases cached prefixes. The requests
are listed in docs/design/outside-protocols.md.
*/
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import * as z from 'zod';
import {isConnectFailure} from './is-connect-failure.js';
import {probeHttp} from './probe-http.js';
import {readEngineStream} from './read-engine-stream.js';
import {readReason} from './read-reason.js';
import type {RunOutcome} from './run-outcome.js';
import type {RunRequest} from './run-request.js';
import type {UpstreamClient} from './upstream-client.js';

/** An interrupted stream is resumed, because only a refused connection shows that the engine crashed. */
const RESUME_ATTEMPTS = 3;
const RESUME_DELAY_MS = 100;
/** Tokens that an engine may have generated beyond the limit before it was stopped. */
const OVERRUN_ALLOWANCE_TOKENS = 64;
const CONTROL_TIMEOUT_MS = 3000;
const STREAM_IDLE_TIMEOUT_MS = 20_000;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

const cacheListSchema = z.object({groups: z.array(z.object({group: z.string(), tokens: z.number()}))});

/** Creates the client of the engine at `address`, given as `http://IP:PORT`. */
export const createEngineClient = (address: string): UpstreamClient => {
	const dispatcher = new Agent({connect: {timeout: CONTROL_TIMEOUT_MS}, bodyTimeout: STREAM_IDLE_TIMEOUT_MS, headersTimeout: STREAM_IDLE_TIMEOUT_MS});

	const startStream = async (run: RunRequest, signal: AbortSignal) => request(`${address}/v1/chat/completions`, {
		method: 'POST',
		dispatcher,
		signal,
		headers: {
			'content-type': 'application/json',
			'x-request-id': run.runId,
			'x-cache-group': run.program,
			'x-fencing-number': String(run.fencingNumber),
			...(run.traceparent && {traceparent: run.traceparent}),
		},
		body: JSON.stringify({
			model: run.model,
			messages: JSON.parse(run.payload) as unknown,
			max_tokens: run.maxOutputTokens,
			stream: true,
			stream_options: {include_usage: true},
			priority: run.priority,
		}),
	});

	const resumeStream = async (run: RunRequest, from: number, signal: AbortSignal) => request(`${address}/streams/${encodeURIComponent(run.runId)}?from=${from}`, {dispatcher, signal});

	const cancel = async (run: RunRequest) => {
		try {
			const res = await request(`${address}/streams/${encodeURIComponent(run.runId)}`, {
				method: 'DELETE', dispatcher, headersTimeout: CONTROL_TIMEOUT_MS, headers: {'x-fencing-number': String(run.fencingNumber)},
			});
			await res.body.dump();
		} catch {
			// An engine that does not respond has no stream left to cancel.
		}
	};

	/**
	Cancels a run that has exceeded its token limit and reads its usage from the engine.
	If the engine does not report it, upper bounds of both token counts are charged.
	*/
	const stopAtTokenLimit = async (run: RunRequest, receivedBytes: number, receivedChunks: number): Promise<RunOutcome> => {
		await cancel(run);
		try {
			const res = await resumeStream(run, receivedBytes, AbortSignal.timeout(CONTROL_TIMEOUT_MS));
			const end = res.statusCode === HTTP_OK ? await readEngineStream(res.body, () => {/* Text beyond the limit is discarded. */}) : undefined;
			if (end) {
				return {
					kind: 'finished', promptTokens: end.promptTokens, outputTokens: end.outputTokens, finish: 'length',
				};
			}
		} catch {
			// The upper bounds below replace the engine's counts.
		}

		return {
			kind: 'finished', promptTokens: Buffer.byteLength(run.payload), outputTokens: receivedChunks + OVERRUN_ALLOWANCE_TOKENS, finish: 'length',
		};
	};

	const run: UpstreamClient['run'] = async (call, onText, signal) => {
		let receivedBytes = 0;
		let receivedChunks = 0;
		const overrunController = new AbortController();
		const combinedSignal = AbortSignal.any([signal, overrunController.signal]);
		const forwardText = (text: string) => {
			if (receivedChunks >= call.maxOutputTokens) {
				overrunController.abort();
				return;
			}

			// A chunk holds at least one token.
			receivedChunks++;
			receivedBytes += Buffer.byteLength(text);
			onText(text);
		};

		let lastReason = '';
		let isCrash = false;
		for (let attempt = 0; attempt <= RESUME_ATTEMPTS; attempt++) {
			try {
				const res = attempt === 0 ? await startStream(call, combinedSignal) : await resumeStream(call, receivedBytes, combinedSignal);
				if (res.statusCode !== HTTP_OK) {
					const text = await readReason(res.body);
					return attempt === 0
						? {kind: 'not-sent', reason: `the engine answered ${res.statusCode}: ${text}`}
						: {kind: 'lost', reason: `the engine no longer knows the stream (${res.statusCode})`, isCrash: res.statusCode === HTTP_NOT_FOUND};
				}

				const end = await readEngineStream(res.body, forwardText);
				if (end) {
					return {
						kind: 'finished', promptTokens: end.promptTokens, outputTokens: end.outputTokens, finish: end.finish,
					};
				}

				lastReason = 'the engine ended the stream early';
			} catch (error) {
				if (overrunController.signal.aborted) {
					return stopAtTokenLimit(call, receivedBytes, receivedChunks);
				}

				if (signal.aborted) {
					await cancel(call);
					return {kind: 'cancelled'};
				}

				lastReason = String(error);
				isCrash = isConnectFailure(error);
				if (attempt === 0 && isCrash) {
					return {kind: 'not-sent', reason: lastReason};
				}
			}

			await delay(RESUME_DELAY_MS);
		}

		return {kind: 'lost', reason: lastReason, isCrash} satisfies RunOutcome;
	};

	return {
		run,
		probe: async () => probeHttp(`${address}/load`, dispatcher),
		async releasePrefix(program, fencingNumber) {
			try {
				const res = await request(`${address}/cache/${encodeURIComponent(program)}`, {
					method: 'DELETE', dispatcher, headersTimeout: CONTROL_TIMEOUT_MS, headers: {'x-fencing-number': String(fencingNumber)},
				});
				await res.body.dump();
				return res.statusCode === HTTP_OK || res.statusCode === HTTP_NOT_FOUND;
			} catch {
				return false;
			}
		},
		async listPrefixes() {
			try {
				const res = await request(`${address}/cache`, {dispatcher, headersTimeout: CONTROL_TIMEOUT_MS});
				const {groups} = cacheListSchema.parse(await res.body.json());
				return groups.map(({group, tokens}) => ({program: group, tokens}));
			} catch {
				return undefined;
			}
		},
	};
};
