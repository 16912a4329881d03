/**
The HTTP status of each refusal code.
*/
import type {RefusalCode} from '@siskinhub/core/refusal/refusal-code.js';

/** Also listed in docs/guide/http-api.md. */
export const REFUSAL_STATUS: Readonly<Record<RefusalCode, number>> = {
	'bad-request': 400,
	'budget-exhausted': 402,
	'wrong-workspace': 403,
	'unknown-row': 404,
	'unknown-program': 404,
	'unknown-request': 404,
	'outcome-unknown': 409,
	'out-of-order': 409,
	'history-mismatch': 409,
	'edit-conflict': 409,
	cancelled: 409,
	'program-ended': 410,
	'too-large': 413,
	quarantined: 422,
	'limit-reached': 429,
	'not-run': 503,
	unavailable: 503,
};
