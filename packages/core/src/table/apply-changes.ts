/**
Applies the changes of an edit to the rows of the table.
*/
import {err, ok, type Result} from 'neverthrow';
import type {AcceptedEdit} from './accepted-edit.js';
import type {CellChange} from './cell-change.js';
import type {TableState} from './table-state.js';

type Rows = TableState['rows'];

const applyChange = (rows: Rows, change: CellChange, {revision, who}: AcceptedEdit): Result<Rows, string> => {
	const row = Object.hasOwn(rows, change.row) ? rows[change.row] : undefined;
	if (change.kind === 'add-row') {
		return row ? err(`${change.row}: the row exists already.`) : ok({...rows, [change.row]: {}});
	}

	if (!row) {
		return err(`${change.row}: there is no such row; add it first.`);
	}

	if (change.kind === 'set') {
		return ok({...rows, [change.row]: {...row, [change.cell]: {value: change.value, revision, who}}});
	}

	if (change.kind === 'clear') {
		const {[change.cell]: _, ...rest} = row;
		return ok({...rows, [change.row]: rest});
	}

	const {[change.row]: _, ...rest} = rows;
	return ok(rest);
};

/** Returns the rows after the edit, or one message for each change that cannot be applied. */
export const applyChanges = (rows: Rows, edit: AcceptedEdit): Result<Rows, readonly string[]> => {
	const faults: string[] = [];
	let current = rows;
	for (const change of edit.changes) {
		const changed = applyChange(current, change, edit);
		if (changed.isErr()) {
			faults.push(changed.error);
		} else {
			current = changed.value;
		}
	}

	return faults.length > 0 ? err(faults) : ok(current);
};
