import {expect, test} from 'vitest';
import {computeLatencyFloor} from '../measure/compute-latency-floor.js';
import {drawPrograms} from '../plan/draw-programs.js';
import {workloads} from '../plan/workloads.js';
import {runPolicy} from '../run-policy.js';

test.each(['sticky', 'siskinhub'])('no latency percentile of %s is below the floor', name => {
	const options = {
		workload: workloads.huenchullan!, fault: 'none' as const, seed: 1, load: 0.3, windowMs: 120_000,
	};
	const plans = drawPrograms(options);
	const floor = computeLatencyFloor(plans, options);
	const run = runPolicy(name, options, plans);
	expect(run.p50).toBeGreaterThanOrEqual(floor.p50);
	expect(run.p95).toBeGreaterThanOrEqual(floor.p95);
	expect(run.p99).toBeGreaterThanOrEqual(floor.p99);
});
