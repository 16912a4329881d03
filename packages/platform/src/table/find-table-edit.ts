/**
Determines the outcome of an edit whose response was lost.
*/
import {err, ok, type Result} from 'neverthrow';
import type {Revision} from '@siskinhub/core/ids/revision.js';
import type {EditRefusal} from '@siskinhub/core/table/edit-refusal.js';
import {isEditId} from '@siskinhub/core/table/is-edit-id.js';
import type {TableLogState} from '@siskinhub/core/table/table-log-state.js';
import type {ReplicatedLog} from '../replicated-log.js';
import type {TableLogItem} from './table-log-item.js';

type EditOutcome =
	| {readonly kind: 'accepted'; readonly revision: Revision}
	// The edit has not taken effect and never will.
	| {readonly kind: 'never'};

type UnknownOutcome = {readonly kind: 'unknown'; readonly message: string};

type EditRequest = {
	readonly editId: string;
	/** The revision that the edit was made against. Without it, the outcome `never` can be given only while the kept history reaches back to revision 0. */
	readonly against?: Revision;
};

const HISTORY_TOO_SHORT: UnknownOutcome = {kind: 'unknown', message: 'The edit may be older than the kept history; read the table.'};

/** Returns the outcome according to the log's state, or `undefined` if the edit may still take effect. */
const determineOutcome = ({table, edits, abandoned}: TableLogState, id: string, against: number): Result<EditOutcome, UnknownOutcome> | undefined => {
	const accepted = edits.find(({editId}) => editId === id);
	if (accepted) {
		return ok({kind: 'accepted', revision: accepted.revision});
	}

	// An edit made against an older revision may have taken effect before the kept history begins.
	if (against < table.revision - edits.length) {
		return err(HISTORY_TOO_SHORT);
	}

	return abandoned.includes(id) ? ok({kind: 'never'}) : undefined;
};

/** Reads the log. If the edit is not in it, appends a tombstone, which prevents the edit from ever taking effect. */
export const findTableEdit = async (
	log: ReplicatedLog<TableLogItem, TableLogState, EditRefusal>,
	{editId, against = 0 as Revision}: EditRequest,
): Promise<Result<EditOutcome, UnknownOutcome>> => {
	if (!isEditId(editId)) {
		// No edit with such an id is ever accepted. Tombstones for arbitrary strings would let callers fill the log.
		return ok({kind: 'never'});
	}

	const refreshed = await log.refresh();
	if (refreshed.isErr()) {
		return err({kind: 'unknown', message: refreshed.error.message});
	}

	const known = determineOutcome(log.state(), editId, against);
	if (known) {
		return known;
	}

	const appended = await log.append({kind: 'abandon', editId});
	return appended.isOk()
		? determineOutcome(log.state(), editId, against) ?? err(HISTORY_TOO_SHORT)
		: err({kind: 'unknown', message: 'The platform\'s service did not answer; ask again when it does.'});
};
