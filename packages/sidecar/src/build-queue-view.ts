/**
Builds the state of an upstream by which the next call is chosen from its queue.
*/
import type {QueueView} from '@siskinhub/core/decide/queue-view.js';
import type {ServiceTimeByRow} from '@siskinhub/core/decide/service-time-by-row.js';
import type {Run} from './run.js';

type UpstreamState = {
	readonly rows: ServiceTimeByRow;
	readonly slots: number;
	readonly running: ReadonlySet<Run>;
	/** The upstream's memory for prefixes, in tokens; 0 if unknown. */
	readonly memoryTokens: number;
	/** The size of the prefixes that the upstream last reported, in tokens. */
	readonly heldTokens: number;
};

/** Running calls count with the tokens that the upstream did not hold when they started. */
export const buildQueueView = ({rows, slots, running, memoryTokens, heldTokens}: UpstreamState): QueueView => {
	let usedTokens = heldTokens;
	for (const run of running) {
		usedTokens += run.queued.missingTokens;
	}

	return {
		rows, slots, running: running.size, memoryTokens, freeTokens: Math.max(0, memoryTokens - usedTokens),
	};
};
