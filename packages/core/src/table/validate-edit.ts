/**
Validates the form of an edit, independently of the table's content.
*/
import type {CellChange} from './cell-change.js';
import {CELL_RULES} from './cell-rules.js';
import {describeCellValues} from './describe-cell-values.js';
import {isCellName} from './is-cell-name.js';
import {isCellValue} from './is-cell-value.js';
import {isRowKey} from './is-row-key.js';
import type {TableEdit} from './table-edit.js';

const EDIT_ID_PATTERN = /^[\w.:\-]{1,128}$/v;

const validateChange = (change: CellChange): readonly string[] => {
	const faults: string[] = [];
	if (!isRowKey(change.row)) {
		faults.push(`${String(change.row)}: a row is named deployment/NAME, kind/NAME or workspace/NAME, with letters, digits, dots, hyphens and underscores.`);
	}

	if (change.kind !== 'set' && change.kind !== 'clear') {
		return faults;
	}

	if (!isCellName(change.cell)) {
		return [...faults, `${change.row}.${String(change.cell)}: there is no such cell; the cells are ${Object.keys(CELL_RULES).join(', ')}.`];
	}

	if (change.kind === 'set' && !isCellValue(change.cell, change.value)) {
		faults.push(`${change.row}.${change.cell}: ${String(change.value)} is not ${describeCellValues(change.cell)}.`);
	}

	return faults;
};

/** Returns a message for every fault of the edit; empty if it is valid. */
export const validateEdit = (edit: TableEdit): readonly string[] => {
	const faults = edit.changes.flatMap(change => validateChange(change));
	if (!EDIT_ID_PATTERN.test(edit.editId)) {
		faults.push('editId: 1 to 128 letters, digits, dots, colons, hyphens and underscores are expected.');
	}

	if (edit.changes.length === 0) {
		faults.push('changes: an edit needs at least one change.');
	}

	return faults;
};
