/**
Creates the simulated upstreams of a pool, each with its engine, sidecar and
tracker, and starts their periodic load reports.
*/
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import type {WasteMeter} from '../measure/waste-meter.js';
import type {Workload} from '../plan/workload.js';
import type {Policy} from './policy.js';
import {PrefixMemory} from './prefix-memory.js';
import {SimEngine} from './sim-engine.js';
import {SimSidecar} from './sim-sidecar.js';
import {UpstreamTracker} from './upstream-tracker.js';
import type {VirtualClock} from './virtual-clock.js';

const REPORT_INTERVAL_MS = 500;
/** Time from taking a load report to its arrival at the hub. */
const REPORT_DELAY_MS = 250;
/** Time from a crash to the engine's restart. */
const RESTART_MS = 30_000;
/** Time for which a restarted upstream stays in state `suspect`. */
const SUSPECT_MS = 60_000;

type TrackerContext = {
	readonly clock: VirtualClock;
	readonly policy: Policy;
	readonly waste: WasteMeter;
	readonly hooks: Pick<ConstructorParameters<typeof SimSidecar>[0], 'onEnd' | 'onServed' | 'onRelease' | 'hasAgents' | 'medianPauseMs' | 'meanProgramMs' | 'typicalCallMs'>;
	readonly onEvict: (program: ProgramId, upstream: UpstreamId) => void;
};

const reportPeriodically = (clock: VirtualClock, tracker: UpstreamTracker): void => {
	const report = tracker.sidecar.report();
	clock.schedule(REPORT_DELAY_MS, () => {
		tracker.receive(report, clock.now);
	});
	clock.schedule(REPORT_INTERVAL_MS, () => {
		reportPeriodically(clock, tracker);
	});
};

const restartAfterCrash = (clock: VirtualClock, tracker: UpstreamTracker): void => {
	tracker.state = 'silent';
	tracker.sidecar.fail();
	clock.schedule(RESTART_MS, () => {
		tracker.sidecar.engine.isAlive = true;
		tracker.state = 'suspect';
		clock.schedule(SUSPECT_MS, () => {
			tracker.state = 'live';
		});
	});
};

/** Returns the trackers of the pool's upstreams by id. Upstreams are assigned to data centres in turn, and their reports are staggered over the report interval. */
export const createTrackers = (context: TrackerContext, workload: Workload, pool: Workload['models']): ReadonlyMap<UpstreamId, UpstreamTracker> => {
	const trackers = new Map<UpstreamId, UpstreamTracker>();
	for (let index = 0; index < pool.count; index++) {
		const id = `${pool.name}-${index + 1}` as UpstreamId;
		const memory = new PrefixMemory(pool.spec.memoryTokens, context.waste, program => {
			context.onEvict(program, id);
		});
		const engine = new SimEngine(pool.spec, memory, context.clock, () => {
			restartAfterCrash(context.clock, trackers.get(id)!);
		});
		const dataCentre = workload.dataCentres[index % workload.dataCentres.length]!;
		const sidecar = new SimSidecar({
			...context.hooks, id, dataCentre, engine, clock: context.clock, policy: context.policy,
		});
		const tracker = new UpstreamTracker(sidecar);
		trackers.set(id, tracker);
		context.clock.schedule(index * REPORT_INTERVAL_MS / pool.count, () => {
			reportPeriodically(context.clock, tracker);
		});
	}

	return trackers;
};
