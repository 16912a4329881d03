import {describe, expect, it} from 'vitest';
import {decideReadiness} from '../decide-readiness.js';

const healthy = {
	isStopping: false, hasRoutes: true, hasHolders: true, ageMs: 60_000,
};

describe('decideReadiness', () => {
	it('is ready while it has routes and enough holders', () => {
		expect(decideReadiness(healthy)).toBe(true);
	});

	it('is ready right after the start, so that processes that restart together share the load', () => {
		expect(decideReadiness({
			...healthy, hasRoutes: false, hasHolders: false, ageMs: 0,
		})).toBe(true);
	});

	it.each([{hasRoutes: false}, {hasHolders: false}])('is not ready after the grace period of the start with %o', missing => {
		expect(decideReadiness({...healthy, ...missing, ageMs: 1500})).toBe(false);
	});

	it('is not ready once it stops, even right after its start', () => {
		expect(decideReadiness({...healthy, isStopping: true, ageMs: 0})).toBe(false);
	});
});
