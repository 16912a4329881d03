/**
Describes in words which values a cell accepts.
*/
import type {CellName} from './cell-name.js';
import {CELL_RULES} from './cell-rules.js';

/** Returns a phrase for messages to operators, such as `a whole number of tokens, 0 or more`. */
export const describeCellValues = (cell: CellName): string => {
	const {unit, isWhole, isPositive} = CELL_RULES[cell];
	const number = isWhole ? 'a whole number' : 'a number';
	return `${number}${unit ? ` of ${unit}` : ''}, ${isPositive ? 'above 0' : '0 or more'}`;
};
