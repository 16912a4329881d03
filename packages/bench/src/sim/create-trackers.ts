/**
Builds the stand-in upstreams of a pool and what watches them.
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
const REPORT_LAG_MS = 250;
const RESTART_MS = 30_000;
const SUSPECT_MS = 60_000;

type Scene = {
	readonly clock: VirtualClock;
	readonly policy: Policy;
	readonly waste: WasteMeter;
	readonly hooks: Pick<ConstructorParameters<typeof SimSidecar>[0], 'onEnd' | 'onServed' | 'onRelease' | 'hasAgents' | 'medianPauseMs' | 'meanProgramMs' | 'typicalCallMs'>;
	readonly onEvict: (program: ProgramId, upstream: UpstreamId) => void;
};

const scheduleReports = (clock: VirtualClock, tracker: UpstreamTracker): void => {
	const report = tracker.sidecar.report();
	clock.schedule(REPORT_LAG_MS, () => {
		tracker.receive(report, clock.now);
	});
	clock.schedule(REPORT_INTERVAL_MS, () => {
		scheduleReports(clock, tracker);
	});
};

const restartAfterCrash = (clock: VirtualClock, tracker: UpstreamTracker): void => {
	tracker.state = 'silent';
	tracker.sidecar.fail();
	clock.schedule(RESTART_MS, () => {
		tracker.sidecar.engine.alive = true;
		tracker.state = 'suspect';
		clock.schedule(SUSPECT_MS, () => {
			tracker.state = 'live';
		});
	});
};

/** Returns the pool's upstreams by id, spread over the data centres, with their reports under way. */
export const createTrackers = (scene: Scene, workload: Workload, pool: Workload['models']): ReadonlyMap<UpstreamId, UpstreamTracker> => {
	const trackers = new Map<UpstreamId, UpstreamTracker>();
	for (let index = 0; index < pool.count; index++) {
		const id = `${pool.name}-${index + 1}` as UpstreamId;
		const memory = new PrefixMemory(pool.spec.memoryTokens, scene.waste, program => {
			scene.onEvict(program, id);
		});
		const engine = new SimEngine(pool.spec, memory, scene.clock, () => {
			restartAfterCrash(scene.clock, trackers.get(id)!);
		});
		const dataCentre = workload.dataCentres[index % workload.dataCentres.length]!;
		const sidecar = new SimSidecar({
			...scene.hooks, id, dataCentre, engine, clock: scene.clock, policy: scene.policy,
		});
		const tracker = new UpstreamTracker(sidecar);
		trackers.set(id, tracker);
		scene.clock.schedule(index * REPORT_INTERVAL_MS / pool.count, () => {
			scheduleReports(scene.clock, tracker);
		});
	}

	return trackers;
};
