import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import type {CellName} from '../cell-name.js';
import {CELL_RULES} from '../cell-rules.js';
import {describeCellValues} from '../describe-cell-values.js';
import {isCellName} from '../is-cell-name.js';
import {isCellValue} from '../is-cell-value.js';
import {isRowKey} from '../is-row-key.js';

const cellNames = Object.keys(CELL_RULES) as CellName[];

test.prop([fc.constantFrom(...cellNames), fc.double({max: -Number.MIN_VALUE, noNaN: true})])('no cell accepts a negative number', (cell, value) => {
	expect(isCellValue(cell, value)).toBe(false);
});

test.prop([fc.constantFrom(...cellNames), fc.anything().filter(value => typeof value !== 'number')])('no cell accepts anything but numbers', (cell, value) => {
	expect(isCellValue(cell, value)).toBe(false);
});

test.each([
	['weight', 1, true],
	['weight', 0.5, false],
	['weight', 0, false],
	['weight', Number.POSITIVE_INFINITY, false],
	['weight', Number.NaN, false],
	['concurrency', 0, true],
	['turns', 1.5, false],
	['wall-time', 1.5, true],
	['budget', Number.MAX_VALUE, false],
] as const)('%s accepts %d: %s', (cell, value, expected) => {
	expect(isCellValue(cell, value)).toBe(expected);
});

test('values are described in words', () => {
	expect(describeCellValues('budget')).toBe('a whole number of tokens, 0 or more');
	expect(describeCellValues('weight')).toBe('a whole number, above 0');
});

test('unknown names are not cell names', () => {
	expect(isCellName('wall-time')).toBe(true);
	expect(isCellName('colour')).toBe(false);
	expect(isCellName('toString')).toBe(false);
});

test.each([
	['workspace/a', true],
	['kind/splice-check.v2', true],
	['deployment/cordelería', false],
	['deployment/delta-a', true],
	['workspace/', false],
	['workspace/a b', false],
	['workspace/a/b', false],
	['team/a', false],
	['workspace', false],
])('%j is a row key: %s', (text, expected) => {
	expect(isRowKey(text)).toBe(expected);
});
