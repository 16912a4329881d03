/**
Brings a fault into a run.
*/
import type {FaultName} from '../plan/fault-name.js';
import type {RunOptions} from '../plan/run-options.js';
import type {SimHub} from './sim-hub.js';
import type {SimSidecar} from './sim-sidecar.js';
import type {UpstreamTracker} from './upstream-tracker.js';
import type {VirtualClock} from './virtual-clock.js';

/** Silence after which an upstream counts as gone. */
const SILENCE_MS = 2000;
const SLOW_FACTOR = 10;
const PLATFORM_DOWN_MS = 180_000;

type Scene = {
	readonly clock: VirtualClock;
	readonly hub: SimHub;
	readonly trackers: readonly UpstreamTracker[];
};

const loseHost = ({clock, hub}: Scene, tracker: UpstreamTracker): void => {
	const {sidecar} = tracker;
	sidecar.reachable = false;
	sidecar.fail();
	clock.schedule(SILENCE_MS, () => {
		tracker.state = 'silent';
		for (const call of sidecar.lost.splice(0)) {
			hub.handleEnd(call, 'failed');
		}
	});
};

const restoreHost = (tracker: UpstreamTracker): void => {
	tracker.sidecar.reachable = true;
	tracker.sidecar.engine.alive = true;
	tracker.state = 'live';
};

const isIn = (dataCentre: string) => ({sidecar}: {sidecar: SimSidecar}) => sidecar.dataCentre === dataCentre;

/** Schedules the fault at a third of the window; the faults of the offered load are in the plan. */
export const scheduleFault = (scene: Scene, {fault, windowMs, workload}: RunOptions): void => {
	const {clock, hub, trackers} = scene;
	const cut = trackers.filter(isIn(workload.dataCentres[0]!));
	const strikes: Partial<Record<FaultName, () => void>> = {
		'upstream-dead'() {
			loseHost(scene, trackers[0]!);
		},
		'upstream-slow'() {
			trackers[0]!.sidecar.engine.slowFactor = SLOW_FACTOR;
		},
		'platform-down'() {
			hub.platformUpAt = clock.now + PLATFORM_DOWN_MS;
		},
		'data-centre-cut'() {
			for (const tracker of cut) {
				loseHost(scene, tracker);
			}
		},
	};
	clock.schedule(windowMs / 3, () => {
		strikes[fault]?.();
	});
	if (fault === 'data-centre-cut') {
		clock.schedule(windowMs / 2, () => {
			for (const tracker of cut) {
				restoreHost(tracker);
			}
		});
	}
};
