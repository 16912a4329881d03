/**
One change within an edit of the operators' table.
*/
import type {CellName} from './cell-name.js';
import type {RowKey} from './row-key.js';

/** `set` and `clear` require an existing row; `remove-row` also removes the row's cells. */
export type CellChange =
	| {readonly kind: 'set'; readonly row: RowKey; readonly cell: CellName; readonly value: number}
	| {readonly kind: 'clear'; readonly row: RowKey; readonly cell: CellName}
	| {readonly kind: 'add-row'; readonly row: RowKey}
	| {readonly kind: 'remove-row'; readonly row: RowKey};
