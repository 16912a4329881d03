import {expect, test} from 'vitest';
import {fitLine} from '../report/fit-line.js';

test('fits points on a line exactly', () => {
	expect(fitLine([[1, 5], [2, 7], [10, 23], [100, 203]])).toEqual({slope: 2, intercept: 3, r2: 1});
});

test('fits scattered points by least squares', () => {
	const line = fitLine([[0, 1], [1, 3], [2, 2], [3, 5]]);
	expect(line?.slope).toBeCloseTo(1.1, 12);
	expect(line?.intercept).toBeCloseTo(1.1, 12);
	expect(line?.r2).toBeCloseTo(0.691_428_571, 6);
});

test('reports r2 of 1 for a flat line, which has no variance to explain', () => {
	expect(fitLine([[1, 4], [2, 4]])).toEqual({slope: 0, intercept: 4, r2: 1});
});

test('returns undefined for points with a single x and for no points', () => {
	expect(fitLine([[3, 1], [3, 2]])).toBeUndefined();
	expect(fitLine([])).toBeUndefined();
});
