/**
Accepts or refuses an edit of the operators' table.
*/
import {err, ok, type Result} from 'neverthrow';
import type {Revision} from '../ids/revision.js';
import {applyChanges} from './apply-changes.js';
import type {EditRefusal} from './edit-refusal.js';
import {findConflicts} from './find-conflicts.js';
import {foldEdit} from './fold-edit.js';
import type {TableEdit} from './table-edit.js';
import type {TableLogState} from './table-log-state.js';
import {validateEdit} from './validate-edit.js';

/**
Applies an edit to the newest table, unless a cell or row that it changes was
changed after the revision that its editor saw. An edit that is already in the
table is accepted again and changes nothing.
*/
export const applyEdit = (state: TableLogState, edit: TableEdit): Result<TableLogState, EditRefusal> => {
	if (state.edits.some(({editId}) => editId === edit.editId)) {
		return ok(state);
	}

	if (state.abandoned.includes(edit.editId)) {
		return err({kind: 'abandoned'});
	}

	const faults = validateEdit(edit);
	if (!(Number.isSafeInteger(edit.against) && edit.against >= 0 && edit.against <= state.table.revision)) {
		return err({kind: 'invalid', faults: [...faults, `against: ${edit.against} is no revision of the table; the newest is ${state.table.revision}.`]});
	}

	if (faults.length > 0) {
		return err({kind: 'invalid', faults});
	}

	const conflicts = findConflicts(state, edit);
	if (conflicts.length > 0) {
		return err({kind: 'conflict', conflicts});
	}

	const accepted = {...edit, revision: state.table.revision + 1 as Revision};
	return applyChanges(state.table.rows, accepted)
		.map(() => foldEdit(state, accepted))
		.mapErr((rowFaults): EditRefusal => ({kind: 'invalid', faults: rowFaults}));
};
