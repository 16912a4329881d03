import {createRandom} from '@siskinhub/core/decide/create-random.js';
import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import {drawSchedule} from '../draw-schedule.js';

const draw = (seed: number, seconds = 20) => drawSchedule(createRandom(seed), {
	seconds, faultsPerSecond: 1, targets: {kill: ['entry-1', 'entry-2'], 'platform-down': ['platform']}, durationMs: [100, 2000],
});

test.prop([fc.integer()])('the same seed gives the same faults, ordered and within the bounds', seed => {
	const faults = draw(seed);
	expect(faults).toEqual(draw(seed));
	expect(faults.length).toBeGreaterThanOrEqual(20);
	expect(faults.every(({atMs, durationMs}, index) => atMs >= (faults[index - 1]?.atMs ?? 0) && atMs <= 20_000 && durationMs >= 100 && durationMs <= 2000)).toBe(true);
});

test('different seeds give different faults, some of which coincide or are repeated', () => {
	expect(draw(1)).not.toEqual(draw(2));
	const faults = draw(1, 200);
	expect(faults.some(({atMs}, index) => atMs === faults[index + 1]?.atMs)).toBe(true);
	expect(faults.some(({kind, target, durationMs}, index) => faults.slice(index + 1).some(other => other.kind === kind && other.target === target && other.durationMs === durationMs))).toBe(true);
});
