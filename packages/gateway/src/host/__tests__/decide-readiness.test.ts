import {describe, expect, it} from 'vitest';
import {decideReadiness} from '../decide-readiness.js';

const calm = {
	isStopping: false, hasRoutes: true, hasHolders: true, ageMs: 60_000,
};

describe('decideReadiness', () => {
	it('takes callers while routes and holders are there', () => {
		expect(decideReadiness(calm)).toBe(true);
	});

	it('takes callers right after the start, so that processes that come back together share the load', () => {
		expect(decideReadiness({
			...calm, hasRoutes: false, hasHolders: false, ageMs: 0,
		})).toBe(true);
	});

	it.each([{hasRoutes: false}, {hasHolders: false}])('takes itself out once the start is over and it lacks %o', lack => {
		expect(decideReadiness({...calm, ...lack, ageMs: 1500})).toBe(false);
	});

	it('takes no callers once it stops, also right after its start', () => {
		expect(decideReadiness({...calm, isStopping: true, ageMs: 0})).toBe(false);
	});
});
