/**
Says in words which values a cell takes.
*/
import type {CellName} from './cell-name.js';
import {cellRules} from './cell-rules.js';

/** For messages to operators, such as `a whole number of tokens from 0 to 1000`. */
export const describeCellValues = (cell: CellName): string => {
	const {min, max, unit} = cellRules[cell];
	return `a whole number of ${unit} from ${min} to ${max}`;
};
