/**
Renders the changes of a table edit as text.
*/
import type {TableChange} from '../table/table-change.js';
import type {TableView} from '../table/table-view.js';
import {renderGrid} from './render-grid.js';

const describeChange = (change: TableChange, rows: TableView['rows']): ReadonlyArray<string | number | undefined> => {
	if (change.kind === 'add-row' || change.kind === 'remove-row') {
		return [change.row, '', '', change.kind === 'add-row' ? 'new row' : 'row removed'];
	}

	const now = rows[change.row]?.[change.cell]?.value;
	return [change.row, change.cell, now, change.kind === 'set' ? change.value : 'cleared'];
};

/** One line per change, with the current value from `view`. */
export const renderChanges = (changes: readonly TableChange[], view: TableView): string =>
	renderGrid(['row', 'cell', 'now', 'after'], changes.map(change => describeChange(change, view.rows)));
