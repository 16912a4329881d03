/**
Submits an edit of the table, at most once.
*/
import {err, ok, type Result} from 'neverthrow';
import type {TableEdit} from '@siskinhub/core/table/table-edit.js';
import type {EditFailure} from './edit-failure.js';
import type {EntryClient} from './entry-client.js';
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
Posts the edit to the first entry that can be reached. Once it may have arrived
it is never posted again: the entries are asked what became of it instead, for
`waitMs` milliseconds. Returns the accepted revision.
*/
export const submitEdit = async (client: EntryClient, edit: SubmittedEdit, waitMs: number): Promise<Result<number, EditFailure>> => {
	let message = 'no entry is known';
	for (const entry of client.entries) {
		const answer = await client.send(entry, {
			method: 'POST', path: '/v1/table/edits', body: edit, schema: RevisionSchema,
		});
		if (answer.isOk()) {
			return ok(answer.value.revision);
		}

		const {error} = answer;
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
