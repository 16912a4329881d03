/**
The record that an engine stand-in keeps of a run.
*/
import type {RunFate} from './run-fate.js';

/** One run that was started, as `GET /records` returns it. */
export type RunRecord = {
	/** Unique among the runs of all engines. */
	readonly run: string;
	readonly engine: string;
	readonly requestId: string;
	readonly group: string;
	readonly fencingNumber?: number;
	readonly promptSha256: string;
	/** The key from which `generateTokens` generates the answer. */
	readonly answerKey: string;
	/** Text of the prompt's `[[mark=TEXT]]`; empty without one. */
	readonly mark: string;
	readonly promptTokens: number;
	/** Milliseconds since the Unix epoch. */
	readonly startedAt: number;
	readonly endedAt?: number;
	/** Tokens generated; 0 until the run ends. */
	readonly outputTokens: number;
	readonly fate: RunFate;
};
