/**
Builds the reply that carries a refusal.
*/
import type {BodyInit} from '@siskinhub/peer/body-init.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';

export const refuse = ({code, message, retryAfterMs}: Refusal): BodyInit => ({
	case: 'refused',
	value: {code, message, retryAfterMs: Math.ceil(retryAfterMs ?? 0)},
});
