/**
Checks the values of cells.
*/
import type {CellName} from './cell-name.js';
import {CELL_RULES} from './cell-rules.js';

/** Whether the cell accepts the value. */
export const isCellValue = (cell: CellName, value: unknown): value is number => {
	const {isWhole, isPositive} = CELL_RULES[cell];
	return typeof value === 'number'
		&& (isWhole ? Number.isSafeInteger(value) : Number.isFinite(value))
		&& (isPositive ? value > 0 : value >= 0);
};
