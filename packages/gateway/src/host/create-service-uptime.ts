/**
Tells whether this process has heard from the platform's service for so long, without
a pause, that no entry can have lapsed in an outage that it did not notice.

Load pattern: the service turns one process away and serves all others; the others can
then tell that process that nothing lapsed.
*/
import type {deriveLapseTimes} from './derive-lapse-times.js';

type UptimeTimes = Pick<ReturnType<typeof deriveLapseTimes>, 'maxPauseMs' | 'minServedMs'>;

/** `now` returns monotonic milliseconds. */
export const createServiceUptime = (now: () => number, {maxPauseMs, minServedMs}: UptimeTimes) => {
	let servedSince = Infinity;
	let lastNewsAt = -Infinity;
	return {
		/** The service was read, by this process or by the relay that it follows. */
		recordRead(): void {
			const at = now();
			servedSince = at - lastNewsAt <= maxPauseMs ? Math.min(servedSince, at) : at;
			lastNewsAt = at;
		},
		/** The service did not answer this process. */
		recordFailure(): void {
			lastNewsAt = -Infinity;
		},
		hasBeenUp: (): boolean => now() - lastNewsAt <= maxPauseMs && now() - servedSince >= minServedMs,
	};
};
