/**
Renders the operators' table as a text grid.
*/
import type {CellName} from '@siskinhub/core/table/cell-name.js';
import {CELL_RULES} from '@siskinhub/core/table/cell-rules.js';
import type {TableView} from '../table/table-view.js';
import {renderGrid} from './render-grid.js';

/** One line per row, and one column per cell that any row has. */
export const renderTableView = ({rows}: TableView): string => {
	const present = new Set(Object.values(rows).flatMap(cells => Object.keys(cells)));
	const columns = (Object.keys(CELL_RULES) as CellName[]).filter(cell => present.has(cell));
	const head = ['row', ...columns.map(cell => {
		const {unit} = CELL_RULES[cell];
		return unit ? `${cell}\n(${unit})` : cell;
	})];
	const lines = Object.entries(rows).toSorted(([a], [b]) => a.localeCompare(b))
		.map(([row, cells]) => [row, ...columns.map(cell => cells[cell]?.value)]);
	return renderGrid(head, lines);
};
