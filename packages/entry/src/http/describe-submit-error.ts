/**
Converts the error of a submitted table edit to a refusal.
*/
import type {createTable} from '@siskinhub/platform/table/create-table.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';

type SubmitError = Awaited<ReturnType<ReturnType<typeof createTable>['submitEdit']>> extends infer Submitted
	? Extract<Submitted, {readonly error: unknown}>['error']
	: never;

const RETRY_AFTER_MS = 1000;

/** Only a refusal with the code `unavailable` leaves open whether the edit took effect. */
export const describeSubmitError = (editId: string, error: SubmitError): Refusal => {
	switch (error.kind) {
		case 'conflict': {
			return {code: 'edit-conflict', message: 'Someone else changed the same cell or row first; read the table and decide again.'};
		}

		case 'invalid': {
			return {code: 'bad-request', message: `The edit cannot be made; correct it: ${error.faults.join(' ')}`};
		}

		case 'abandoned': {
			return {code: 'cancelled', message: 'The edit was given up before it took effect; send it under a new id.'};
		}

		case 'too-large': {
			return {code: 'too-large', message: `The table would be too large: ${error.message}`};
		}

		case 'fenced': {
			return {code: 'not-run', message: 'The edit did not take effect; send it again.', retryAfterMs: RETRY_AFTER_MS};
		}

		case 'unavailable': {
			return error.fate === 'not-written'
				? {code: 'not-run', message: 'The platform\'s service does not answer and the edit did not take effect; send it again when it does.', retryAfterMs: RETRY_AFTER_MS}
				: {code: 'unavailable', message: `The platform's service does not answer and the edit may still take effect; ask at /v1/table/edits/${editId}.`, retryAfterMs: RETRY_AFTER_MS};
		}
	}
};
