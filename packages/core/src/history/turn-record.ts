/**
One stored turn of a program's history.
*/
import type {Digest} from '../ids/digest.js';
import type {ProgramId} from '../ids/program-id.js';
import type {RequestId} from '../ids/request-id.js';
import type {TurnNumber} from '../ids/turn-number.js';

/** A turn as history holders store it. `digest` covers all other fields, including `previous`. */
export type TurnRecord = {
	readonly program: ProgramId;
	readonly turn: TurnNumber;
	readonly requestId: RequestId;
	/** Digest of the history before this turn; the empty string before turn 1. */
	readonly previous: Digest;
	readonly digest: Digest;
	/** The caller's input as JSON text. */
	readonly input: string;
	/** The complete output of the upstream. */
	readonly output: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** How the run ended: `stop`, or `length` if the output was cut off at its limit. */
	readonly finish: string;
};
