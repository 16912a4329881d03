/**
How long a call would wait for a slot of an upstream.
*/
import type {UpstreamView} from './upstream-view.js';

/** Returns the expected wait in milliseconds, from the last report and what was sent since. */
export const estimateQueueWait = (upstream: UpstreamView): number => {
	const ahead = upstream.running + upstream.queued + upstream.sentSinceReport - upstream.slots + 1;
	return Math.max(0, ahead) * upstream.callMs / Math.max(1, upstream.slots);
};
