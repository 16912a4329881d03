import {describe, expect, test} from 'vitest';
import {drawPrograms} from '../plan/draw-programs.js';
import type {FaultName} from '../plan/fault-name.js';
import {workloads} from '../plan/workloads.js';
import {runPolicy} from '../run-policy.js';

const createOptions = (fault: FaultName, workload = 'huenchullan') => ({
	workload: workloads[workload]!, fault, seed: 7, load: 0.8, windowMs: 45_000,
});

const faults: FaultName[] = ['none', 'upstream-dead', 'upstream-slow', 'data-centre-cut', 'platform-down', 'crashing-request', 'burst', 'flood'];

describe.each(faults)('fault %s', fault => {
	const options = createOptions(fault);
	const plans = drawPrograms(options);

	test.each(['round-robin', 'least-outstanding', 'sticky', 'siskinhub'])('%s: every program ends exactly once, and no engine runs more calls than it has slots', name => {
		const {programs, maxRuns} = runPolicy(name, options, plans);
		expect(programs.started).toBe(plans.length);
		expect(programs.finished + programs.refused + programs.failed + programs.died + programs.open).toBe(programs.started);
		expect(programs.open).toBe(0);
		expect(maxRuns).toBeLessThanOrEqual(options.workload.models.spec.slots);
	});
});

test('the same seed gives the same metrics', () => {
	const options = createOptions('none', 'alliance');
	const run = () => runPolicy('siskinhub', options, drawPrograms(options));
	expect(run()).toEqual(run());
});

test('different seeds give different programs', () => {
	const options = createOptions('none');
	expect(drawPrograms({...options, seed: 8})).not.toEqual(drawPrograms(options));
});
