/**
Generates faults of calls to the platform's service for property tests.
*/
import {fc} from '@fast-check/vitest';

const delayMs = fc.oneof(
	{weight: 12, arbitrary: fc.integer({min: 0, max: 20})},
	// Long delays, up to beyond the timeouts of the tests, simulate a calling process that was paused.
	{weight: 1, arbitrary: fc.integer({min: 100, max: 5000})},
);

/** Arbitrary for the list of faults that `createFaultyClient` takes. */
export const callFaults = fc.array(fc.record({
	beforeMs: delayMs,
	afterMs: delayMs,
	fate: fc.oneof(
		{weight: 8, arbitrary: fc.constant('answered' as const)},
		{weight: 3, arbitrary: fc.constantFrom('dropped', 'lost', 'late')},
	),
}), {minLength: 1, maxLength: 30});
