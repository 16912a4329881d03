/**
Creates the state of one run of an engine stand-in, with all tokens of its answer.
*/
import {randomUUID} from 'node:crypto';
import {generateTokens} from './generate-tokens.js';
import type {Prompt} from './prompt.js';
import type {EngineRun} from './engine-run.js';

const PREFILL_TOKENS_PER_MS = 200;

/** Everything that determines a run besides its prompt. */
type RunRequest = {
	readonly engine: string;
	readonly requestId: string;
	readonly group: string;
	readonly fencingNumber?: number;
	readonly priority: number;
	readonly maxTokens?: number;
	/** Tokens that the cache holds for the request's group. */
	readonly heldTokens: number;
	/** Whether the run crashes the engine halfway through its answer. */
	readonly crashes: boolean;
	/** Whether two runs of one prompt answer differently. */
	readonly variesAnswers: boolean;
};

/** Determines the whole answer, which depends only on the prompt and `maxTokens` unless answers vary. */
export const createEngineRun = (prompt: Prompt, request: RunRequest): EngineRun => {
	const {engine, requestId, group, fencingNumber, priority, maxTokens, heldTokens, crashes, variesAnswers} = request;
	const run = randomUUID();
	const answerKey = variesAnswers ? `${prompt.sha256}/${run}` : prompt.sha256;
	const limit = prompt.ignoresMaxTokens ? Infinity : maxTokens ?? Infinity;
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
		generatedTokens: 0,
		output: new Uint8Array(0),
		fate: 'running',
		isCut: false,
		listeners: new Set(),
	};
};
