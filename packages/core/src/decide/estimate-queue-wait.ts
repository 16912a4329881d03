/**
Estimates how long a call would wait in the queue of an upstream.
*/
import type {UnplacedCall} from './unplaced-call.js';
import type {UpstreamView} from './upstream-view.js';

/** Share of memory in use above which calls that start a program are likely to wait for memory. */
const SCARCE_MEMORY_SHARE = 0.75;
/** Wait for memory when it is full, in mean call times. */
const FULL_MEMORY_WAIT_CALLS = 8;

/** Counts the slots that starting programs can use. An upstream that queues starts while slots are free is short of memory, so only its running calls count as slots. */
const countEffectiveSlots = (upstream: UpstreamView): number =>
	Math.max(1, upstream.queuedStarts > 0 ? Math.min(upstream.slots, upstream.running) : upstream.slots);

const estimateMemoryWait = (upstream: UpstreamView): number => {
	if (upstream.memoryTokens === 0) {
		return 0;
	}

	const scarcity = Math.max(0, (upstream.usedTokens / upstream.memoryTokens) - SCARCE_MEMORY_SHARE) / (1 - SCARCE_MEMORY_SHARE);
	return scarcity * FULL_MEMORY_WAIT_CALLS * upstream.callMs;
};

/** Returns the expected wait in milliseconds, from the last report and the calls sent since. Calls that start a program wait behind all others. */
export const estimateQueueWait = (call: UnplacedCall, upstream: UpstreamView): number => {
	const {running, queued, queuedStarts, sentSinceReport, callMs} = upstream;
	if (!call.startsProgram) {
		const ahead = running + queued - queuedStarts + sentSinceReport - upstream.slots + 1;
		return Math.max(0, ahead) * callMs / Math.max(1, upstream.slots);
	}

	const slots = countEffectiveSlots(upstream);
	const ahead = running + queued + sentSinceReport - slots + 1;
	return (Math.max(0, ahead) * callMs / slots) + estimateMemoryWait(upstream);
};
