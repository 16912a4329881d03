/**
Checks an edit by itself, without the table that it will meet.
*/
import type {CellChange} from './cell-change.js';
import {cellRules} from './cell-rules.js';
import {isEditId} from './is-edit-id.js';
import type {TableEdit} from './table-edit.js';

const ROW_KEY_PATTERN = /^(?:deployment|kind|workspace)\/[\w.\-]{1,64}$/v;

const validateChange = (change: CellChange): readonly string[] => {
	const faults: string[] = [];
	if (!ROW_KEY_PATTERN.test(change.row)) {
		faults.push(`${change.row}: a row is named deployment/NAME, kind/NAME or workspace/NAME, with letters, digits, dots, hyphens and underscores.`);
	}

	if (change.kind !== 'set' && change.kind !== 'clear') {
		return faults;
	}

	if (!Object.hasOwn(cellRules, change.cell)) {
		return [...faults, `${change.row}.${change.cell}: there is no such cell; the cells are ${Object.keys(cellRules).join(', ')}.`];
	}

	const {min, max, unit} = cellRules[change.cell];
	if (change.kind === 'set' && !(Number.isSafeInteger(change.value) && change.value >= min && change.value <= max)) {
		faults.push(`${change.row}.${change.cell}: ${change.value} is not a whole number of ${unit} from ${min} to ${max}.`);
	}

	return faults;
};

/** Returns what is wrong with the edit, all faults at once. */
export const validateEdit = (edit: TableEdit): readonly string[] => {
	const faults = edit.changes.flatMap(change => validateChange(change));
	if (!isEditId(edit.editId)) {
		faults.push('editId: 1 to 128 letters, digits, dots, colons, hyphens and underscores are expected.');
	}

	if (edit.changes.length === 0) {
		faults.push('changes: an edit needs at least one change.');
	}

	return faults;
};
