/**
Starts the bookkeeping of one run on a stand-in engine.
*/
import {randomUUID} from 'node:crypto';
import {generateTokens} from './generate-tokens.js';
import type {Prompt} from './prompt.js';
import type {Run} from './run.js';

const PREFILL_TOKENS_PER_MS = 200;

/** What a request says beside its prompt. */
type RunRequest = {
	readonly engine: string;
	readonly requestId: string;
	readonly group: string;
	readonly fencingNumber?: number;
	readonly priority: number;
	readonly maxTokens?: number;
	/** Tokens that the cache holds of the request's group. */
	readonly heldTokens: number;
	readonly crashes: boolean;
	readonly variesAnswers: boolean;
};

/** The answer is settled here: it depends only on the prompt and `maxTokens`, unless answers vary. */
export const createRun = (prompt: Prompt, request: RunRequest): Run => {
	const {engine, requestId, group, fencingNumber, priority, maxTokens, heldTokens, crashes, variesAnswers} = request;
	const run = randomUUID();
	const answerKey = variesAnswers ? `${prompt.sha256}/${run}` : prompt.sha256;
	const limit = prompt.overruns ? Infinity : maxTokens ?? Infinity;
	const cachedTokens = Math.min(heldTokens, prompt.tokens);
	return {
		record: {
			run,
			engine,
			requestId,
			group,
			fencingNumber,
			promptSha256: prompt.sha256,
			answerKey,
			mark: prompt.mark,
			promptTokens: prompt.tokens,
			startedAt: Date.now(),
			outputTokens: 0,
			fate: 'running',
		},
		priority,
		tokens: generateTokens(answerKey, Math.min(prompt.wantedTokens, limit)),
		finish: prompt.wantedTokens > limit ? 'length' : 'stop',
		crashes,
		cachedTokens,
		prefillMs: (prompt.tokens - cachedTokens) / PREFILL_TOKENS_PER_MS,
		generated: 0,
		output: new Uint8Array(0),
		fate: 'running',
		cutDone: false,
		listeners: new Set(),
	};
};
