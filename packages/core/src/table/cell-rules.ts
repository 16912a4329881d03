/**
Which values each cell may hold. All are whole numbers.
*/
import type {CellName} from './cell-name.js';

type CellRule = {
	readonly min: number;
	readonly max: number;
	readonly unit: string;
};

const MAX_TOKENS = 1_000_000_000_000_000;
const MAX_SECONDS = 31_536_000;

/** One rule for each cell. */
export const cellRules: Readonly<Record<CellName, CellRule>> = {
	weight: {min: 1, max: 10_000, unit: 'shares'},
	priority: {min: 0, max: 100, unit: 'levels'},
	budget: {min: 0, max: MAX_TOKENS, unit: 'tokens'},
	'program-budget': {min: 0, max: MAX_TOKENS, unit: 'tokens'},
	concurrency: {min: 0, max: 1_000_000, unit: 'calls'},
	turns: {min: 1, max: 1_000_000, unit: 'turns'},
	'wall-time': {min: 1, max: MAX_SECONDS, unit: 'seconds'},
	'tool-time': {min: 1, max: MAX_SECONDS, unit: 'seconds'},
	'idle-time': {min: 1, max: MAX_SECONDS, unit: 'seconds'},
	'output-tokens': {min: 1, max: 1_000_000_000, unit: 'tokens'},
};
