/**
Baseline queue order: first come, first served.
*/
import type {QueueOrder} from './queue-order.js';

/** Chooses the call that joined the queue first. */
export const chooseFirstCome: QueueOrder = waiting => {
	let best = -1;
	for (const [index, call] of waiting.entries()) {
		if (best === -1 || call.queuedAt < waiting[best]!.queuedAt) {
			best = index;
		}
	}

	return best;
};
