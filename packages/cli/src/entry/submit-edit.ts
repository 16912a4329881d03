/**
Submits an edit of the table at most once, also when the answer is lost.
*/
import {err, ok, type Result} from 'neverthrow';
import type {TableEdit} from '@siskinhub/core/table/table-edit.js';
import type {EditFailure} from './edit-failure.js';
import type {OperatorClient} from './operator-client.js';
import type {EntryError} from './entry-error.js';
import {findEditFate} from './find-edit-fate.js';
import {RevisionSchema} from './revision-schema.js';

type SubmittedEdit = Pick<TableEdit, 'editId' | 'against' | 'changes'>;

// Refusals after which the edit may still take effect.
const UNDECIDED_CODES = new Set(['unavailable', 'outcome-unknown']);

const describeLoss = (entry: string, error: EntryError): string => error.kind === 'refused'
	? `${entry} could not tell, because the platform's service did not answer it`
	: error.message;

/**
Posts the edit to the first entry that can be reached. Once an entry may have
received it, it is never posted again; instead, the entries are asked for up to
`waitMs` whether it took effect. Returns the accepted revision.
*/
export const submitEdit = async (client: OperatorClient, edit: SubmittedEdit, waitMs: number): Promise<Result<number, EditFailure>> => {
	let message = 'no entry is configured';
	for (const entry of client.entries) {
		const response = await client.send(entry, {
			method: 'POST', path: '/v1/table/edits', body: edit, schema: RevisionSchema,
		});
		if (response.isOk()) {
			return ok(response.value.revision);
		}

		const {error} = response;
		if (error.kind === 'refused' && !UNDECIDED_CODES.has(error.refusal.code)) {
			return err({kind: 'refused', refusal: error.refusal});
		}

		message = describeLoss(entry, error);
		if (error.kind !== 'not-sent') {
			return findEditFate(client, {...edit, message, waitMs});
		}
	}

	return err({kind: 'not-sent', message});
};
