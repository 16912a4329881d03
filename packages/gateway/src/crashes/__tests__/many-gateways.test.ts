import {describe, expect, it} from 'vitest';
import {simulateCrashingRequest} from './simulate-crashing-request.js';

const SETTLE_MS = 3000;
/** The most that the target allows after the settling time. */
const MAX_LATE_SENDS = 3;
/** So that a heartbeat stays within its share of the bytes for control. */
const MAX_NOTES_PER_HEARTBEAT = 64;

const FLEETS = [
	{gateways: 5, holders: 3, engines: 8},
	{gateways: 25, holders: 10, engines: 24},
	{gateways: 60, holders: 20, engines: 60},
	{gateways: 900, holders: 20, engines: 400},
];

describe('a request that ends each engine that runs it, with all the requests beside it', () => {
	// Guards against BUDGET: of the notes that an engine left, a heartbeat named 64 and the others were never told.
	it.each(FLEETS)('is sent at most three times after the settling time, at $gateways gateways', fleet => {
		for (const requestsPerEngine of [0, 64, 256]) {
			for (let seed = 1; seed <= (fleet.gateways > 100 ? 1 : 4); seed++) {
				const result = simulateCrashingRequest({
					...fleet, requestsPerEngine, crasherEveryMs: 1000, durationMs: 40_000, settleMs: SETTLE_MS, restartsPerS: 0.2, seed,
				});
				expect(result.lateSends, `${requestsPerEngine} requests an engine, seed ${seed}`).toBeLessThanOrEqual(MAX_LATE_SENDS);
				expect(result.mostNotes).toBeLessThanOrEqual(MAX_NOTES_PER_HEARTBEAT);
				expect(result.blockedInnocents).toBe(0);
			}
		}
	}, 120_000);

	// Guards against BUDGET: notes were forgotten after a minute, so that a request that returned every half minute was sent on for ever.
	it('is sent at most three times after the settling time if it comes every half minute', () => {
		const result = simulateCrashingRequest({
			...FLEETS[0]!, requestsPerEngine: 64, crasherEveryMs: 30_000, durationMs: 540_000, settleMs: SETTLE_MS, restartsPerS: 0, seed: 1,
		});
		expect(result.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
	});
});
