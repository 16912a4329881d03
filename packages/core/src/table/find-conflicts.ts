/**
Compares an edit with what happened to the table after the revision that its
editor saw.
*/
import type {Revision} from '../ids/revision.js';
import type {AcceptedEdit} from './accepted-edit.js';
import type {CellChange} from './cell-change.js';
import type {CellName} from './cell-name.js';
import type {EditRefusal} from './edit-refusal.js';
import type {TableEdit} from './table-edit.js';
import type {TableLogState} from './table-log-state.js';

type EditConflict = Extract<EditRefusal, {kind: 'conflict'}>['conflicts'][number];
type Touch = Pick<AcceptedEdit, 'revision'> & {readonly who?: string};

const cellOf = (change: CellChange): CellName | undefined => 'cell' in change ? change.cell : undefined;

/** Whether what `later` did is something that the editor of `change` should have seen. */
const touches = (later: CellChange, change: CellChange) => {
	if (later.row !== change.row) {
		return false;
	}

	const laterCell = cellOf(later);
	// Adding a row does not hurt cells of it; removing one touches everything, and is touched by everything.
	return change.kind === 'remove-row' || later.kind === 'remove-row'
		|| (laterCell === undefined ? change.kind === 'add-row' : laterCell === cellOf(change));
};

/** The latest edit after `against` that touches the change, as far as the kept history tells. */
const findLaterTouch = ({table, edits}: TableLogState, against: Revision, change: CellChange): Touch | undefined => {
	const later = edits.findLast(({revision, changes}) => revision > against && changes.some(other => touches(other, change)));
	if (later) {
		return later;
	}

	const oldestKnown = (edits[0]?.revision ?? table.revision + 1) - 1;
	if (against >= oldestKnown) {
		return undefined;
	}

	// The history was cut after the editor looked: only a cell that still stands can be judged.
	const cell = cellOf(change);
	const met = cell && table.rows[change.row]?.[cell];
	if (met) {
		return met.revision > against ? met : undefined;
	}

	return {revision: oldestKnown as Revision};
};

/** Returns what the edit's changes collide with; none if they can be made again on the present table. */
export const findConflicts = (state: TableLogState, edit: TableEdit): readonly EditConflict[] => edit.changes.flatMap(change => {
	const later = findLaterTouch(state, edit.against, change);
	if (!later) {
		return [];
	}

	const cell = cellOf(change);
	const met = cell && state.table.rows[change.row]?.[cell];
	return [{
		row: change.row,
		...(cell && {cell}),
		...(met && {value: met.value}),
		...(later.who !== undefined && {who: later.who}),
		revision: later.revision,
	}];
});
