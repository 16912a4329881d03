/**
Builds the refusal of a call that ended without an answer.
*/
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {RefusalCode} from '@siskinhub/core/refusal/refusal-code.js';
import {Fate} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {CallRequest} from './call-request.js';

const RETRY_AFTER_MS = 1000;

/** `retryAfterMs` is the delay that the upstream asked for, 0 if none. */
export const describeFailure = (fate: Fate, call: CallRequest, reason: string, retryAfterMs: number): Refusal => {
	const refusal = (code: RefusalCode, message: string): Refusal => ({code, message, ...(retryAfterMs > 0 && {retryAfterMs})});
	if (fate === Fate.NOT_RUN) {
		return refusal('not-run', `The call did not run: ${reason}; send it again under a new request id.`);
	}

	if (fate === Fate.CANCELLED) {
		return refusal('cancelled', 'The call was cancelled.');
	}

	return call.idempotent
		? {code: 'unavailable', message: `The upstream failed while the call ran: ${reason}; send the same request again.`, retryAfterMs: RETRY_AFTER_MS}
		: refusal('outcome-unknown', `Whether the call ran cannot be established: ${reason}; check its effect before you send it under a new request id.`);
};
