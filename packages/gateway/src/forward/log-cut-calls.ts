/**
Writes a log line for each request that the end of the process cuts, and counts them.

Expected load: none as a rule; hundreds if upstreams have stalled.
*/
import {createBoundedLines} from '@siskinhub/observe/create-bounded-lines.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {GatewayMetrics} from '../metrics/gateway-metrics.js';
import type {createActiveCalls} from './create-active-calls.js';

const MAX_LINES = 50;
/** The process ends within it. */
const PERIOD_MS = 1000;

type CutCallsOptions = {
	readonly log: Pick<Logger, 'info'>;
	readonly metrics: Pick<GatewayMetrics, 'countCut'>;
};

/** `calls` are what is in flight, the oldest first; these have lines. */
export const logCutCalls = (calls: ReturnType<ReturnType<typeof createActiveCalls>['list']>, {log, metrics}: CutCallsOptions): void => {
	const lines = createBoundedLines(log, {periodMs: PERIOD_MS, maxLines: MAX_LINES, omittedMessage: 'calls cut by the end of the process left out'});
	for (const {call, phase, wasPassedOn, ageMs} of calls) {
		metrics.countCut(phase);
		lines.write('call cut by the end of the process', {
			requestId: call.id, programId: call.program?.id, phase, wasPassedOn, ageMs,
		});
	}

	lines.close();
};
