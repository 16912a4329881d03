/**
Baseline queue policy: first come, first served.
*/
import type {QueuePolicy} from './queue-policy.js';

/** Chooses the call that joined the queue first. */
export const chooseEarliestQueuedCall: QueuePolicy = waiting => {
	let best = -1;
	for (const [index, call] of waiting.entries()) {
		if (best === -1 || call.queuedAt < waiting[best]!.queuedAt) {
			best = index;
		}
	}

	return best;
};
