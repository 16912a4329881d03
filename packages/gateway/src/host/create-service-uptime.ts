/**
Tells whether this process has heard from the platform's service for so long, without
a pause, that no entry can have lapsed in an outage that it did not notice.

Load pattern: the service turns one process away and serves all others; the others can
then tell that process that nothing lapsed.
*/

/** Entries lapse after more than three seconds without a heartbeat. */
const MIN_SERVED_MS = 4000;
/** Longer than between two reads, also those that a relay passes on. */
const MAX_PAUSE_MS = 1500;

/** `now` returns monotonic milliseconds. */
export const createServiceUptime = (now: () => number) => {
	let servedSince = Infinity;
	let lastNewsAt = -Infinity;
	return {
		/** The service was read, by this process or by the relay that it follows. */
		recordRead(): void {
			const at = now();
			servedSince = at - lastNewsAt <= MAX_PAUSE_MS ? Math.min(servedSince, at) : at;
			lastNewsAt = at;
		},
		/** The service did not answer this process. */
		recordFailure(): void {
			lastNewsAt = -Infinity;
		},
		hasBeenUp: (): boolean => now() - lastNewsAt <= MAX_PAUSE_MS && now() - servedSince >= MIN_SERVED_MS,
	};
};
