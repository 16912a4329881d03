import {expect, test} from 'vitest';
import {measureFloor} from '../measure/measure-floor.js';
import {drawPrograms} from '../plan/draw-programs.js';
import {workloads} from '../plan/workloads.js';
import {runPolicy} from '../run-policy.js';

test.each(['sticky', 'siskinhub'])('%s beats the floor at no percentile', name => {
	const options = {
		workload: workloads.huenchullan!, fault: 'none' as const, seed: 1, load: 0.3, windowMs: 120_000,
	};
	const plans = drawPrograms(options);
	const floor = measureFloor(plans, options);
	const run = runPolicy(name, options, plans);
	expect(run.p50).toBeGreaterThanOrEqual(floor.p50);
	expect(run.p95).toBeGreaterThanOrEqual(floor.p95);
	expect(run.p99).toBeGreaterThanOrEqual(floor.p99);
});
