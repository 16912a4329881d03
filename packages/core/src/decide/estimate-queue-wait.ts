/**
How long a call would wait before an upstream runs it.
*/
import type {CallView} from './call-view.js';
import type {UpstreamView} from './upstream-view.js';

/** Share of memory from which on starts of programs are likely to wait for room. */
const SCARCE_SHARE = 0.75;
/** Calls' worth of waiting when memory is full. */
const FULL_MEMORY_CALLS = 8;

/** An upstream that queues starts while slots are free is short of memory, and its slots are worth what runs. */
const countEffectiveSlots = (upstream: UpstreamView): number =>
	Math.max(1, upstream.queuedStarts > 0 ? Math.min(upstream.slots, upstream.running) : upstream.slots);

const estimateMemoryWait = (upstream: UpstreamView): number => {
	if (upstream.memoryTokens === 0) {
		return 0;
	}

	const scarcity = Math.max(0, (upstream.usedTokens / upstream.memoryTokens) - SCARCE_SHARE) / (1 - SCARCE_SHARE);
	return scarcity * FULL_MEMORY_CALLS * upstream.callMs;
};

/** Returns the expected wait in milliseconds, from the last report and what was sent since; starts of programs wait behind the others. */
export const estimateQueueWait = (call: CallView, upstream: UpstreamView): number => {
	const {running, queued, queuedStarts, sentSinceReport, callMs} = upstream;
	if (!call.startsProgram) {
		const ahead = running + queued - queuedStarts + sentSinceReport - upstream.slots + 1;
		return Math.max(0, ahead) * callMs / Math.max(1, upstream.slots);
	}

	const slots = countEffectiveSlots(upstream);
	const ahead = running + queued + sentSinceReport - slots + 1;
	return (Math.max(0, ahead) * callMs / slots) + estimateMemoryWait(upstream);
};
