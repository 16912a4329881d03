/**
A run under way on a stand-in engine.
*/
import type {RunFate} from './run-fate.js';
import type {RunRecord} from './run-record.js';

/** State of one run; listeners are told when text was added or the run ended. */
export type Run = {
	readonly record: RunRecord;
	readonly priority: number;
	readonly tokens: readonly string[];
	/** Fate once all tokens were generated. */
	readonly finish: RunFate;
	readonly crashes: boolean;
	/** Tokens of the prompt that were in the cache. */
	readonly cachedTokens: number;
	/** Time before the first token, in milliseconds. */
	prefillMs: number;
	generated: number;
	/** The answer so far. */
	output: Uint8Array;
	fate: RunFate;
	cutDone: boolean;
	readonly listeners: Set<() => void>;
};
