/**
Decides after which delay a round also asks the holders that it did not ask at
first.

Load pattern: processes are short of processor time, so that every answer takes
longer than a fixed delay. Each round would then ask all holders of its group,
which adds two thirds to the messages of processes that already have too much to
do. The delay therefore follows the usual duration of a round, while a single
holder that hangs still costs little.
*/

/** Several times the duration of a disk sync plus a network round trip. */
const MIN_DELAY_MS = 40;
/** A request has to survive a holder that hangs. */
const MAX_DELAY_MS = 400;
/** Rounds that last this many times as long as usual are exceptions. */
const USUAL_DURATIONS = 3;
const NEWEST_WEIGHT = 0.1;

export const createHedgeDelay = () => {
	let usualMs = 0;
	return {
		/** Records how long a round took that had enough answers. */
		record(durationMs: number): void {
			usualMs += NEWEST_WEIGHT * (Math.min(durationMs, MAX_DELAY_MS) - usualMs);
		},
		delayMs: (): number => Math.min(MAX_DELAY_MS, Math.max(MIN_DELAY_MS, usualMs * USUAL_DURATIONS)),
	};
};
