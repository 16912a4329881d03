/**
What a run that led to no answer means for its request.
*/
import {Fate} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {CallRequest} from './call-request.js';
import type {RunResult} from './run-result.js';

/** A repeatable call whose fate is unknown counts as failed, since it may simply run again. */
export const judgeFate = (call: CallRequest, result: Exclude<RunResult, {kind: 'unsent'}>): Fate => {
	if (result.kind === 'lost') {
		return call.idempotent ? Fate.FAILED : Fate.UNKNOWN;
	}

	return call.idempotent && result.done.fate === Fate.UNKNOWN ? Fate.FAILED : result.done.fate;
};
