/**
Keeps exponentially weighted means of how long runs take.
*/
import type {RunStatistics} from './run-statistics.js';

/** Weight of the newest run in a mean. */
const NEWEST_SHARE = 0.1;
/** Assumed before the first run has ended. */
const FIRST_CALL_MS = 1000;
const FIRST_TOKEN_MS = 20;

/** Creates statistics without any run. */
export const createRunStatistics = (): RunStatistics => {
	let callMs = FIRST_CALL_MS;
	let tokenMs = FIRST_TOKEN_MS;
	let attainedMs = 0;
	const blend = (mean: number, sample: number) => mean + (NEWEST_SHARE * (sample - mean));
	return {
		record(servedMs, outcome) {
			if (outcome.kind !== 'finished') {
				return;
			}

			callMs = blend(callMs, servedMs);
			if (outcome.outputTokens > 0) {
				tokenMs = blend(tokenMs, servedMs / outcome.outputTokens);
			}
		},
		recordArrival(attained) {
			attainedMs = blend(attainedMs, attained);
		},
		// A call arrives, on average, half-way through its program.
		programMs: () => (2 * attainedMs) + callMs,
		callMs: () => callMs,
		tokenMs: () => tokenMs,
	};
};
