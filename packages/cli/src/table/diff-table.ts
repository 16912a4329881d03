/**
Compares the table with the rows that a file declares.
*/
import type {CellName} from '@siskinhub/core/table/cell-name.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {DeclaredRows} from './declared-rows.js';
import type {RowCells} from './row-cells.js';
import type {TableChange} from './table-change.js';
import type {TableView} from './table-view.js';

type TableDiff = {
	/** Changes that make the table match the file, apart from `unlisted`. */
	readonly changes: readonly TableChange[];
	/** Rows that are not in the file and are left in the table. */
	readonly unlisted: readonly RowKey[];
};

const diffRow = (row: RowKey, declared: RowCells, present: TableView['rows'][string] | undefined): readonly TableChange[] => {
	const added: TableChange[] = present ? [] : [{kind: 'add-row', row}];
	const cleared = Object.keys(present ?? {})
		.filter(cell => declared[cell as CellName] === undefined)
		.map((cell): TableChange => ({kind: 'clear', row, cell: cell as CellName}));
	const set = Object.entries(declared)
		.filter(([cell, value]) => present?.[cell]?.value !== value)
		.map(([cell, value]): TableChange => ({
			kind: 'set', row, cell: cell as CellName, value,
		}));
	return [...added, ...cleared, ...set];
};

/** Rows that are not in the file are removed only if `shouldPrune` is set. */
export const diffTable = (view: TableView, declared: DeclaredRows, shouldPrune: boolean): TableDiff => {
	const changes = [...declared].flatMap(([row, cells]) => diffRow(row, cells, view.rows[row]));
	const unlisted = (Object.keys(view.rows) as RowKey[]).filter(row => !declared.has(row));
	return shouldPrune
		? {changes: [...changes, ...unlisted.map((row): TableChange => ({kind: 'remove-row', row}))], unlisted: []}
		: {changes, unlisted};
};
