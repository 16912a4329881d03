/**
Builds the turn that a finished call adds to its program's history.
*/
import {computeDigest} from '@siskinhub/core/history/compute-digest.js';
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import type {Digest} from '@siskinhub/core/ids/digest.js';
import type {CallRequest} from './call-request.js';
import type {CallProgress} from './call-progress.js';

/** Deterministic: every entry builds the same turn from the same call and answer. */
export const buildTurn = (call: CallRequest, {text, done, digest}: NonNullable<CallProgress['finished']>): TurnRecord => {
	const turn = {
		program: call.program,
		turn: call.turn,
		requestId: call.requestId,
		previous: digest as Digest,
		input: JSON.stringify(call.input ?? null),
		output: text,
		promptTokens: done.promptTokens,
		outputTokens: done.outputTokens,
		finish: done.finish,
	};
	return {...turn, digest: computeDigest(turn)};
};
