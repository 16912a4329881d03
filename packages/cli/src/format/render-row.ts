/**
Renders one row of the operators' table as text.
*/
import {isCellName} from '@siskinhub/core/table/is-cell-name.js';
import {CELL_RULES} from '@siskinhub/core/table/cell-rules.js';
import type {TableView} from '../table/table-view.js';
import {renderGrid} from './render-grid.js';

/** One line per cell, with the operator who wrote it and the revision. */
export const renderRow = (cells: TableView['rows'][string]): string => renderGrid(
	['cell', 'value', 'unit', 'written by', 'at revision'],
	Object.entries(cells).map(([cell, {value, who, revision}]) => [cell, value, isCellName(cell) ? CELL_RULES[cell].unit : undefined, who, revision]),
);
