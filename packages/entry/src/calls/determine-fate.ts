/**
Determines the fate of a call whose run ended without an answer.
*/
import {Fate} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {CallRequest} from './call-request.js';
import type {RunResult} from './run-result.js';

/** An idempotent call whose fate is unknown counts as failed, because it is safe to run again. */
export const determineFate = (call: CallRequest, result: Exclude<RunResult, {kind: 'unsent'}>): Fate => {
	if (result.kind === 'lost') {
		return call.idempotent ? Fate.FAILED : Fate.UNKNOWN;
	}

	return call.idempotent && result.done.fate === Fate.UNKNOWN ? Fate.FAILED : result.done.fate;
};
