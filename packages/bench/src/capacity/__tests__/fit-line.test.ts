import {expect, test} from 'vitest';
import {fitLine} from '../report/fit-line.js';

test('points on a line give the line', () => {
	expect(fitLine([[1, 5], [2, 7], [10, 23], [100, 203]])).toEqual({slope: 2, intercept: 3, r2: 1});
});

test('scattered points give the least squares', () => {
	const line = fitLine([[0, 1], [1, 3], [2, 2], [3, 5]]);
	expect(line?.slope).toBeCloseTo(1.1, 12);
	expect(line?.intercept).toBeCloseTo(1.1, 12);
	expect(line?.r2).toBeCloseTo(0.691_428_571, 6);
});

test('a flat line explains all of no variance', () => {
	expect(fitLine([[1, 4], [2, 4]])).toEqual({slope: 0, intercept: 4, r2: 1});
});

test('one x gives no line', () => {
	expect(fitLine([[3, 1], [3, 2]])).toBeUndefined();
	expect(fitLine([])).toBeUndefined();
});
