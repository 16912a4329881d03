/**
What values the cells of the operators' table take.
*/
import type {CellName} from './cell-name.js';

type CellRule = {
	/** Unit in words; absent where the number has none. */
	readonly unit?: 'tokens' | 'calls' | 'turns' | 'seconds';
	/** Whether fractions are refused. */
	readonly isWhole: boolean;
	/** Whether 0 is refused. */
	readonly isPositive: boolean;
};

/** A rule for each cell, in the order in which the table shows them. Values are finite and never negative. */
export const CELL_RULES: Readonly<Record<CellName, CellRule>> = {
	weight: {isWhole: true, isPositive: true},
	priority: {isWhole: true, isPositive: false},
	budget: {unit: 'tokens', isWhole: true, isPositive: false},
	'program-budget': {unit: 'tokens', isWhole: true, isPositive: false},
	concurrency: {unit: 'calls', isWhole: true, isPositive: false},
	turns: {unit: 'turns', isWhole: true, isPositive: false},
	'wall-time': {unit: 'seconds', isWhole: false, isPositive: false},
	'tool-time': {unit: 'seconds', isWhole: false, isPositive: false},
	'idle-time': {unit: 'seconds', isWhole: false, isPositive: false},
	'output-tokens': {unit: 'tokens', isWhole: true, isPositive: false},
};
