/**
Builds the load report of an upstream for the entries.
*/
import type {QueueView} from '@siskinhub/core/decide/queue-view.js';
import type {createRunStatistics} from './create-run-statistics.js';
import type {Run} from './run.js';

/** `waiting` holds the queued calls. */
export const buildLoad = ({slots, running, memoryTokens, freeTokens}: QueueView, waiting: readonly Run[], statistics: Pick<ReturnType<typeof createRunStatistics>, 'callMs' | 'tokenMs'>) => ({
	slots,
	running,
	queued: waiting.length,
	queuedStarts: waiting.filter(run => run.queued.startsProgram).length,
	memoryTokens: BigInt(memoryTokens),
	usedTokens: BigInt(memoryTokens - freeTokens),
	callMs: statistics.callMs(),
	tokenMs: statistics.tokenMs(),
});
