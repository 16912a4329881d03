/**
Builds the reply that carries a refusal.
*/
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';

export const refuse = ({code, message, retryAfterMs}: Refusal): MessageBodyInit => ({
	case: 'refused',
	value: {code, message, retryAfterMs: Math.ceil(retryAfterMs ?? 0)},
});
