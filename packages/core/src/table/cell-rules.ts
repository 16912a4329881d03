/**
The values that the cells of the operators' table accept.
*/
import type {CellName} from './cell-name.js';

type CellRule = {
	/** Unit of the number; absent if it has none. */
	readonly unit?: 'tokens' | 'calls' | 'turns' | 'seconds';
	/** Whether only whole numbers are accepted. */
	readonly isWhole: boolean;
	/** Whether 0 is rejected. */
	readonly isPositive: boolean;
};

/** The rule for each cell, in display order. All values are finite and not negative. */
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
