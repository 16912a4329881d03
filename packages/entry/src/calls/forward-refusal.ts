/**
Refuses a call whose owner replied with neither a grant nor a recorded answer.
*/
import type {RefusalCode} from '@siskinhub/core/refusal/refusal-code.js';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {CallEvents} from './call-events.js';

const RETRY_AFTER_MS = 1000;

/** Forwards the owner's refusal; any other reply is reported as `unavailable`. */
export const forwardRefusal = (events: CallEvents, body: MessageBody): void => {
	if (body.case === 'refused') {
		const {code, message, retryAfterMs} = body.value;
		events.onRefused({code: code as RefusalCode, message, ...(retryAfterMs > 0 && {retryAfterMs})});
	} else {
		events.onRefused({code: 'unavailable', message: `The owner answered with ${body.case}; send the same request again.`, retryAfterMs: RETRY_AFTER_MS});
	}
};
