/**
A run of an engine stand-in.
*/
import type {RunFate} from './run-fate.js';
import type {RunRecord} from './run-record.js';

/** State of one run; listeners are called when text was added or the run ended. */
export type EngineRun = {
	/** The record as of the run's start. */
	readonly record: RunRecord;
	readonly priority: number;
	/** All tokens of the answer. */
	readonly tokens: readonly string[];
	/** Fate once all tokens are generated. */
	readonly finish: RunFate;
	/** Whether the run crashes the engine halfway through its answer. */
	readonly crashes: boolean;
	/** Tokens of the prompt that were in the cache. */
	readonly cachedTokens: number;
	/** Remaining time before the first token, in milliseconds. */
	prefillMs: number;
	generatedTokens: number;
	/** The UTF-8 text generated so far. */
	output: Uint8Array;
	fate: RunFate;
	/** Whether the fault `cutStreamAt` has already cut a stream of the run. */
	isCut: boolean;
	readonly listeners: Set<() => void>;
};
