/**
Runs one policy over the planned programs in virtual time: connects the callers,
the hub, the simulated upstreams, the fault and the recorder.
*/
import {createRandom} from '@siskinhub/core/decide/create-random.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import {RunRecorder} from './measure/run-recorder.js';
import type {RunMetrics} from './measure/run-metrics.js';
import {WasteMeter} from './measure/waste-meter.js';
import type {ProgramPlan} from './plan/program-plan.js';
import type {RunOptions} from './plan/run-options.js';
import {createTrackers} from './sim/create-trackers.js';
import {policies} from './sim/policies.js';
import {PrefixIndex} from './sim/prefix-index.js';
import {ProgramRunner} from './sim/program-runner.js';
import {scheduleFault} from './sim/schedule-fault.js';
import type {SimCall} from './sim/sim-call.js';
import {SimHub} from './sim/sim-hub.js';
import type {UpstreamTracker} from './sim/upstream-tracker.js';
import {VirtualClock} from './sim/virtual-clock.js';

/** Longest virtual time after the window for which the run waits for open programs. */
const MAX_DRAIN_MS = 21_600_000;
/** Time from an eviction to the arrival of its cache event at the hub. */
const CACHE_EVENT_DELAY_MS = 1000;
const CACHE_EVENT_LOSS_CHANCE = 0.1;
/** Time from a release by a sidecar to the arrival of its notice at the hub. */
const RELEASE_NOTICE_DELAY_MS = 50;
/** Ratio of the mean of a log-normal distribution to its median; gives the size that the hub expects of calls it has not seen. */
const MEAN_TO_MEDIAN_RATIO = 1.5;
/** Turns of a program, for the initial estimate of a program's slot time. */
const TYPICAL_TURNS = 8;
/** Weight of one program in the moving average of the programs' slot time. */
const PROGRAM_TIME_WEIGHT = 0.01;

/** Returns the metrics of the run; the same arguments give the same metrics. */
export const runPolicy = (name: string, options: RunOptions, plans: readonly ProgramPlan[]): RunMetrics => {
	const {workload, seed, windowMs} = options;
	const {models, services, shape} = workload;
	const clock = new VirtualClock();
	const policy = policies[name]!();
	const random = createRandom(seed + 1);
	const waste = new WasteMeter(windowMs, models.count * models.spec.memoryTokens);
	const recorder = new RunRecorder(options, plans);
	const prefixes = new PrefixIndex();
	const expectedOutputTokens = shape.outputTokens * MEAN_TO_MEDIAN_RATIO;

	let meanProgramMs = TYPICAL_TURNS * expectedOutputTokens * models.spec.tokenMs;
	const removePrefixLater = (program: ProgramId, upstream: UpstreamId, lagMs: number): void => {
		const evictedAt = clock.now;
		clock.schedule(lagMs, () => {
			prefixes.remove(program, upstream, evictedAt);
		});
	};

	const createPool = (pool: typeof models, typicalCallMs: number): ReadonlyMap<UpstreamId, UpstreamTracker> => createTrackers({
		clock,
		policy,
		waste,
		hooks: {
			onEnd(call, end) {
				hub.handleAttemptEnd(call, end);
			},
			onServed(call, slotMs) {
				recorder.recordServed(call, slotMs, clock.now);
			},
			onRelease(call: SimCall) {
				removePrefixLater(call.program, call.upstream!, RELEASE_NOTICE_DELAY_MS);
			},
			hasAgents: (program): boolean => hub.programsWithAgents.has(program),
			medianPauseMs: shape.pauseMs,
			meanProgramMs: () => meanProgramMs,
			typicalCallMs,
		},
		onEvict(program, upstream) {
			if (random() >= CACHE_EVENT_LOSS_CHANCE) {
				removePrefixLater(program, upstream, CACHE_EVENT_DELAY_MS);
			}
		},
	}, workload, pool);

	const pools = {models: createPool(models, expectedOutputTokens * models.spec.tokenMs), services: createPool(services, shape.serviceMs * MEAN_TO_MEDIAN_RATIO)};
	const hub = new SimHub(clock, policy, pools, prefixes, random);
	const runner = new ProgramRunner(clock, hub, random, {
		expectedOutputTokens,
		onEnd(plan, end, attainedMs) {
			meanProgramMs += PROGRAM_TIME_WEIGHT * (attainedMs - meanProgramMs);
			recorder.recordEnd(plan, end, clock.now);
		},
		onNewTokens(tokens) {
			recorder.recordNewTokens(tokens);
		},
	});
	const trackers = [...pools.models.values()];
	scheduleFault({clock, hub, trackers: [...trackers, ...pools.services.values()]}, options);
	for (const plan of plans) {
		clock.schedule(plan.arrivesAt, () => {
			recorder.recordStart(plan);
			runner.start(plan);
		});
	}

	while ((clock.now < windowMs || recorder.open.size > 0) && clock.now < windowMs + MAX_DRAIN_MS) {
		clock.step();
	}

	for (const tracker of trackers) {
		tracker.sidecar.engine.memory.clear(clock.now);
	}

	return recorder.summarise(name, waste, hub.counts, trackers.map(tracker => tracker.sidecar.engine));
};
