/**
Names the outcome of one run for its trace span.
*/
import {Fate} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {RunResult} from './run-result.js';

/** Returns `ok`, or the fate, refusal code or result kind of a run without an answer. */
export const describeRun = (result: RunResult): string => {
	if (result.kind === 'done') {
		return result.done.fate === Fate.UNSPECIFIED ? 'ok' : Fate[result.done.fate];
	}

	return result.kind === 'unsent' ? result.refusal.code : result.kind;
};
