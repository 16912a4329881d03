import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createSeededRandom} from '../../__tests__/create-seeded-random.js';
import {simulateFleet} from './simulate-fleet.js';

/** Time to the first event within which a turn earns its full worth on the users' sheets. */
const OBJECTIVE_MS = 200;

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

describe('many gateways that see only their own turns', () => {
	// Guards against SHORT: engines that all gateways preferred filled up unseen while half of the others were idle.
	it.each([
		{
			gateways: 19, engines: 28, slots: 6, turnsPerS: 400,
		},
		{
			gateways: 19, engines: 28, slots: 6, turnsPerS: 800,
		},
		{
			gateways: 60, engines: 80, slots: 6, turnsPerS: 1200,
		},
	])('$gateways gateways serve $turnsPerS turns a second in time on $engines engines with $slots places', fleet => {
		const {waits, refused} = simulateFleet({
			...fleet, durationMs: 5000, readPerMs: 112, random: createSeededRandom(1),
		});
		expect(waits[Math.floor(waits.length * 0.9)]).toBeLessThan(OBJECTIVE_MS);
		expect(refused).toBe(0);
	}, 60_000);

	// Guards against SHORT: under more programs than the engines can serve, all of them waited and few ended in time.
	it('refuses some programs under twice the load that the engines can serve, and finishes the others', () => {
		const {waits, refusedPrograms, finishedPrograms} = simulateFleet({
			gateways: 19, engines: 28, slots: 6, turnsPerS: 2200, durationMs: 8000, readPerMs: 112, random: createSeededRandom(1),
		});
		expect(waits[Math.floor(waits.length * 0.5)]).toBeLessThan(2 * OBJECTIVE_MS);
		expect(refusedPrograms).toBeGreaterThan(0);
		// The engines serve about 1,000 turns a second.
		expect(finishedPrograms).toBeGreaterThan(0.7 * 1000 / 6 * 8);
	}, 60_000);

	it('refuses hardly a program because some engines let turns hang', () => {
		const {refusedPrograms, finishedPrograms} = simulateFleet({
			gateways: 19, engines: 28, slots: 6, turnsPerS: 300, durationMs: 8000, readPerMs: 112, hangingEngines: 4, random: createSeededRandom(5),
		});
		expect(refusedPrograms).toBeLessThan(0.02 * (finishedPrograms + refusedPrograms));
	}, 60_000);

	it('reads no more prompts again than a tenth of those that programs share', () => {
		const {readTokens} = simulateFleet({
			gateways: 19, engines: 28, slots: 6, turnsPerS: 400, durationMs: 5000, readPerMs: 112, random: createSeededRandom(3),
		});
		const ownTokensOfTurn = 208;
		expect(readTokens).toBeLessThan(ownTokensOfTurn + 256);
	}, 60_000);
});
