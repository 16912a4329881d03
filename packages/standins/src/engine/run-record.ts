/**
What a stand-in engine remembers of a run.
*/
import type {RunFate} from './run-fate.js';

/** One run that began, as `GET /records` gives it. */
export type RunRecord = {
	/** Unique among the runs of all engines. */
	readonly run: string;
	readonly engine: string;
	readonly requestId: string;
	readonly group: string;
	readonly fencingNumber?: number;
	readonly promptSha256: string;
	/** What `generateTokens` makes the answer from. */
	readonly answerKey: string;
	/** The request's name, if its prompt gave one. */
	readonly mark: string;
	readonly promptTokens: number;
	/** Milliseconds since the Unix epoch. */
	readonly startedAt: number;
	readonly endedAt?: number;
	/** Tokens generated so far. */
	readonly outputTokens: number;
	readonly fate: RunFate;
};
