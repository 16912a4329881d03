/**
Names the outcome of one attempt at a sidecar for its span.
*/
import {Fate} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {RunResult} from './run-result.js';

/** `ok`, or what kept the attempt from giving an answer. */
export const describeRun = (result: RunResult): string => {
	if (result.kind === 'done') {
		return result.done.fate === Fate.UNSPECIFIED ? 'ok' : Fate[result.done.fate];
	}

	return result.kind === 'unsent' ? result.refusal.code : result.kind;
};
