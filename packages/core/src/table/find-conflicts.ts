/**
Finds conflicts between an edit and the changes made to the table after the
revision that its editor saw.
*/
import type {Revision} from '../ids/revision.js';
import type {AcceptedEdit} from './accepted-edit.js';
import type {CellChange} from './cell-change.js';
import type {CellName} from './cell-name.js';
import type {EditRefusal} from './edit-refusal.js';
import type {TableEdit} from './table-edit.js';
import type {TableLogState} from './table-log-state.js';

type EditConflict = Extract<EditRefusal, {kind: 'conflict'}>['conflicts'][number];
type ConflictingRevision = Pick<AcceptedEdit, 'revision'> & {readonly who?: string};

const getCellName = (change: CellChange): CellName | undefined => 'cell' in change ? change.cell : undefined;

/** Whether the editor of `change` would have had to know about `later`. */
const isConflicting = (later: CellChange, change: CellChange) => {
	if (later.row !== change.row) {
		return false;
	}

	const laterCell = getCellName(later);
	// Adding a row does not conflict with changes of its cells. Removing a row conflicts with every change of the row.
	return change.kind === 'remove-row' || later.kind === 'remove-row'
		|| (laterCell === undefined ? change.kind === 'add-row' : laterCell === getCellName(change));
};

/** Returns the latest known revision after `against` that conflicts with the change. */
const findConflictingRevision = ({table, edits}: TableLogState, against: Revision, change: CellChange): ConflictingRevision | undefined => {
	const later = edits.findLast(({revision, changes}) => revision > against && changes.some(other => isConflicting(other, change)));
	if (later) {
		return later;
	}

	const oldestKnown = (edits[0]?.revision ?? table.revision + 1) - 1;
	if (against >= oldestKnown) {
		return undefined;
	}

	// The kept history does not reach back to `against`. Only a cell that still has a value shows when it was last changed; anything else counts as a conflict.
	const cell = getCellName(change);
	const currentCell = cell && table.rows[change.row]?.[cell];
	if (currentCell) {
		return currentCell.revision > against ? currentCell : undefined;
	}

	return {revision: oldestKnown as Revision};
};

/** Returns the conflicts of the edit; empty if it can be applied to the newest table. */
export const findConflicts = (state: TableLogState, edit: TableEdit): readonly EditConflict[] => edit.changes.flatMap(change => {
	const later = findConflictingRevision(state, edit.against, change);
	if (!later) {
		return [];
	}

	const cell = getCellName(change);
	const currentCell = cell && state.table.rows[change.row]?.[cell];
	return [{
		row: change.row,
		...(cell && {cell}),
		...(currentCell && {value: currentCell.value}),
		...(later.who !== undefined && {who: later.who}),
		revision: later.revision,
	}];
});
