/**
Checks the values of cells.
*/
import type {CellName} from './cell-name.js';
import {cellRules} from './cell-rules.js';

/** Whether the cell takes the value. */
export const isCellValue = (cell: CellName, value: unknown): boolean => {
	const {min, max} = cellRules[cell];
	return typeof value === 'number' && Number.isSafeInteger(value) && value >= min && value <= max;
};
