/**
Passes an owner's answer that is no grant on to the caller.
*/
import type {RefusalCode} from '@siskinhub/core/refusal/refusal-code.js';
import type {Body} from '@siskinhub/peer/body.js';
import type {CallEvents} from './call-events.js';

const RETRY_AFTER_MS = 1000;

/** Sends the owner's refusal; any other answer counts as the owner being unavailable. */
export const refuseWith = (events: CallEvents, body: Body): void => {
	if (body.case === 'refused') {
		const {code, message, retryAfterMs} = body.value;
		events.onRefused({code: code as RefusalCode, message, ...(retryAfterMs > 0 && {retryAfterMs})});
	} else {
		events.onRefused({code: 'unavailable', message: `The owner answered with ${body.case}; send the same request again.`, retryAfterMs: RETRY_AFTER_MS});
	}
};
