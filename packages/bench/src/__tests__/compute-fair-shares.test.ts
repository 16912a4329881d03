import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import {computeFairShares} from '../measure/compute-fair-shares.js';

const claims = fc.array(fc.record({weight: fc.integer({min: 1, max: 9}), demand: fc.integer({min: 0, max: 1000})}), {minLength: 1, maxLength: 8});

test.prop([claims, fc.integer({min: 1, max: 5000})])('no row gets more than its demand, and the capacity is used as far as there is demand', (rows, capacity) => {
	const shares = computeFairShares(rows, capacity);
	const totalDemand = rows.reduce((sum, row) => sum + row.demand, 0);
	expect(shares.every((share, index) => share <= rows[index]!.demand + 1e-6)).toBe(true);
	expect(shares.reduce((sum, share) => sum + share, 0)).toBeCloseTo(Math.min(capacity, totalDemand), 3);
});

test('rows whose demand exceeds their share divide the remaining capacity by weight', () => {
	expect(computeFairShares([{weight: 3, demand: 900}, {weight: 1, demand: 900}, {weight: 4, demand: 50}], 450)).toEqual([300, 100, 50]);
});
