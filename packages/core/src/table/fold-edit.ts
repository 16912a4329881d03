/**
Applies an accepted edit to the table and appends it to the kept history.
*/
import type {AcceptedEdit} from './accepted-edit.js';
import {applyChanges} from './apply-changes.js';
import type {TableLogState} from './table-log-state.js';

const MAX_KEPT_EDITS = 500;
const MAX_KEPT_CHANGES = 2000;

/** Drops the oldest edits, so that the history and the table together fit into one key of the platform's service. */
const trimHistory = (edits: readonly AcceptedEdit[]) => {
	let changes = 0;
	const lastDropped = edits.findLastIndex((edit, position) => {
		changes += edit.changes.length;
		return position < edits.length - 1 && (changes > MAX_KEPT_CHANGES || edits.length - position > MAX_KEPT_EDITS);
	});
	return edits.slice(lastDropped + 1);
};

/** Returns the state after the edit. Throws if the edit was not accepted at the revision that follows the state's. */
export const foldEdit = (state: TableLogState, edit: AcceptedEdit): TableLogState => {
	const rows = applyChanges(state.table.rows, edit);
	if (rows.isErr() || edit.revision !== state.table.revision + 1) {
		throw new Error(`edit ${edit.editId} of revision ${edit.revision} does not follow revision ${state.table.revision}`);
	}

	return {
		table: {revision: edit.revision, rows: rows.value},
		edits: trimHistory([...state.edits, edit]),
		abandoned: state.abandoned,
	};
};
