/**
One stored turn of a program's history.
*/
import type {Digest} from '../ids/digest.js';
import type {ProgramId} from '../ids/program-id.js';
import type {RequestId} from '../ids/request-id.js';
import type {TurnNumber} from '../ids/turn-number.js';

/** A turn as history holders keep it; `digest` covers the record and the digest before it. */
export type TurnRecord = {
	readonly program: ProgramId;
	readonly turn: TurnNumber;
	readonly requestId: RequestId;
	/** Digest of the history before this turn; the empty string before turn 1. */
	readonly previous: Digest;
	readonly digest: Digest;
	/** What the caller sent, as JSON text. */
	readonly input: string;
	/** What the upstream answered, whole. */
	readonly output: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** How the run ended: `stop`, or `length` where the answer was cut at its limit. */
	readonly finish: string;
};
