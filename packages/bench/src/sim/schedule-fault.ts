/**
Injects a fault of the infrastructure into a run: a lost host, a slow upstream,
a lost data centre or an outage of the platform.
*/
import type {FaultName} from '../plan/fault-name.js';
import type {RunOptions} from '../plan/run-options.js';
import type {SimHub} from './sim-hub.js';
import type {SimSidecar} from './sim-sidecar.js';
import type {UpstreamTracker} from './upstream-tracker.js';
import type {VirtualClock} from './virtual-clock.js';

/** Silence of an upstream after which it counts as lost. */
const SILENCE_TIMEOUT_MS = 2000;
const SLOW_FACTOR = 10;
/** Length of the platform's outage. */
const PLATFORM_DOWN_MS = 180_000;

type FaultContext = {
	readonly clock: VirtualClock;
	readonly hub: SimHub;
	readonly trackers: readonly UpstreamTracker[];
};

const disconnectHost = ({clock, hub}: FaultContext, tracker: UpstreamTracker): void => {
	const {sidecar} = tracker;
	sidecar.isReachable = false;
	sidecar.fail();
	clock.schedule(SILENCE_TIMEOUT_MS, () => {
		tracker.state = 'silent';
		for (const call of sidecar.lost.splice(0)) {
			hub.handleAttemptEnd(call, 'failed');
		}
	});
};

const reconnectHost = (tracker: UpstreamTracker): void => {
	tracker.sidecar.isReachable = true;
	tracker.sidecar.engine.isAlive = true;
	tracker.state = 'live';
};

const createDataCentreFilter = (dataCentre: string) => ({sidecar}: {sidecar: SimSidecar}) => sidecar.dataCentre === dataCentre;

/** Schedules the fault at a third of the window; a data centre that was cut off returns at half of it. The other faults are part of the planned programs. */
export const scheduleFault = (context: FaultContext, {fault, windowMs, workload}: RunOptions): void => {
	const {clock, hub, trackers} = context;
	const cutTrackers = trackers.filter(createDataCentreFilter(workload.dataCentres[0]!));
	const faultActions: Partial<Record<FaultName, () => void>> = {
		'upstream-dead'() {
			disconnectHost(context, trackers[0]!);
		},
		'upstream-slow'() {
			trackers[0]!.sidecar.engine.slowFactor = SLOW_FACTOR;
		},
		'platform-down'() {
			hub.platformRestoredAt = clock.now + PLATFORM_DOWN_MS;
		},
		'data-centre-cut'() {
			for (const tracker of cutTrackers) {
				disconnectHost(context, tracker);
			}
		},
	};
	clock.schedule(windowMs / 3, () => {
		faultActions[fault]?.();
	});
	if (fault === 'data-centre-cut') {
		clock.schedule(windowMs / 2, () => {
			for (const tracker of cutTrackers) {
				reconnectHost(tracker);
			}
		});
	}
};
