/**
Tells the fate of an edit whose answer was lost.
*/
import {err, ok, type Result} from 'neverthrow';
import type {Revision} from '@siskinhub/core/ids/revision.js';
import type {EditRefusal} from '@siskinhub/core/table/edit-refusal.js';
import {isEditId} from '@siskinhub/core/table/is-edit-id.js';
import type {TableLogState} from '@siskinhub/core/table/table-log-state.js';
import type {ReplicatedLog} from '../replicated-log.js';
import type {TableLogItem} from './table-log-item.js';

type EditFate =
	| {readonly kind: 'accepted'; readonly revision: Revision}
	// Neither took effect nor ever will.
	| {readonly kind: 'never'};

type UnknownFate = {readonly kind: 'unknown'; readonly message: string};

type EditRequest = {
	readonly editId: string;
	/** The revision that the edit was made against; without it an edit can only be found in the kept history. */
	readonly against?: Revision;
};

const HISTORY_TOO_SHORT: UnknownFate = {kind: 'unknown', message: 'The edit may be older than the kept history; read the table.'};

/** Returns the fate that the log's state tells; `undefined` if the edit may still take effect. */
const judge = ({table, edits, abandoned}: TableLogState, id: string, against: number): Result<EditFate, UnknownFate> | undefined => {
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

/** Reads the log; where it does not contain the edit, a tombstone in the log makes sure that it never will. */
export const findTableEdit = async (
	log: ReplicatedLog<TableLogItem, TableLogState, EditRefusal>,
	{editId, against = 0 as Revision}: EditRequest,
): Promise<Result<EditFate, UnknownFate>> => {
	if (!isEditId(editId)) {
		// No edit of this id is ever accepted; a tombstone for any text would let callers fill the log.
		return ok({kind: 'never'});
	}

	const refreshed = await log.refresh();
	if (refreshed.isErr()) {
		return err({kind: 'unknown', message: refreshed.error.message});
	}

	const known = judge(log.state(), editId, against);
	if (known) {
		return known;
	}

	const appended = await log.append({kind: 'abandon', editId});
	return appended.isOk()
		? judge(log.state(), editId, against) ?? err(HISTORY_TOO_SHORT)
		: err({kind: 'unknown', message: 'The platform\'s service did not answer; ask again when it does.'});
};
