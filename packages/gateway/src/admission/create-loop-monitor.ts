/**
Measures how busy the event loop is and how long data that has arrived waits until
this process handles it.

A process that gets too little of a processor handles everything that has arrived
in one long iteration of its event loop. The time until the end of the current
iteration is therefore its queue. Both values are measured only while there are
requests, so that an idle process is not woken for it.
*/
import type {performance} from 'node:perf_hooks';

/** Weight of the newest measurement; low enough that a single garbage collection is no overload. */
const NEWEST_WEIGHT = 0.25;
/** Without requests for this time, there is no queue. */
const IDLE_AFTER_MS = 500;
/** Shorter samples of the utilization depend on single requests. */
const SAMPLE_MS = 100;

type LoopMonitorOptions = {
	/** Calls its argument at the end of the current iteration, as `setImmediate` does. */
	readonly schedule: (listener: () => void) => void;
	/** Reads a monotonic clock, in milliseconds. */
	readonly now: () => number;
	/** Returns the utilization of the event loop since `last`, as `performance.eventLoopUtilization` does. */
	readonly measureUtilization: typeof performance.eventLoopUtilization;
};

type LoopState = {
	/** How long arrived data waits until it is handled, in milliseconds. */
	readonly queueMs: number;
	/** Share of the time in which the event loop was not waiting, from 0 to 1. */
	readonly utilization: number;
};

const IDLE: LoopState = {queueMs: 0, utilization: 0};

export const createLoopMonitor = ({schedule, now, measureUtilization}: LoopMonitorOptions) => {
	let queueMs = 0;
	let utilization = 0;
	let measuredAt = -Infinity;
	let startedAt: number | undefined;
	let sampledAt = now();
	let lastSample = measureUtilization();

	const finish = (): void => {
		const lastedMs = now() - startedAt!;
		const isStale = now() - measuredAt > IDLE_AFTER_MS;
		queueMs = isStale ? lastedMs : queueMs + (NEWEST_WEIGHT * (lastedMs - queueMs));
		measuredAt = now();
		startedAt = undefined;
	};

	const sample = (): void => {
		const passedMs = now() - sampledAt;
		if (passedMs < SAMPLE_MS) {
			return;
		}

		const current = measureUtilization();
		const {utilization: newest} = measureUtilization(current, lastSample);
		utilization = passedMs > IDLE_AFTER_MS ? newest : utilization + (NEWEST_WEIGHT * (newest - utilization));
		sampledAt = now();
		lastSample = current;
	};

	return {
		/** Must be called when a request arrives. */
		recordArrival(): void {
			sample();
			if (startedAt === undefined) {
				startedAt = now();
				schedule(finish);
			}
		},
		read: (): LoopState => now() - measuredAt > IDLE_AFTER_MS ? IDLE : {queueMs, utilization},
	};
};
