/**
Computes exponentially weighted moving averages of run durations.
*/
import type {RunStatistics} from './run-statistics.js';

/** Weight of the newest sample in an average. */
const SMOOTHING_FACTOR = 0.1;
/** Assumed until the first run has finished. */
const INITIAL_CALL_MS = 1000;
const INITIAL_TOKEN_MS = 20;

/** Creates statistics with the initial values. */
export const createRunStatistics = (): RunStatistics => {
	let callMs = INITIAL_CALL_MS;
	let tokenMs = INITIAL_TOKEN_MS;
	let attainedMs = 0;
	const updateMean = (mean: number, sample: number) => mean + (SMOOTHING_FACTOR * (sample - mean));
	return {
		record(servedMs, outcome) {
			if (outcome.kind !== 'finished') {
				return;
			}

			callMs = updateMean(callMs, servedMs);
			if (outcome.outputTokens > 0) {
				tokenMs = updateMean(tokenMs, servedMs / outcome.outputTokens);
			}
		},
		recordArrival(attained) {
			attainedMs = updateMean(attainedMs, attained);
		},
		// On average, a call arrives half-way through its program.
		programMs: () => (2 * attainedMs) + callMs,
		callMs: () => callMs,
		tokenMs: () => tokenMs,
	};
};
