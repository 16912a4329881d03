/**
Suspends an upstream whose answers break off or are no answers, one after the other,
and lets single calls try it again after a time that grows (a circuit breaker).

Calls that end together, as when all connections of a host are reset, count once: only
a call that began after the last counted failure tells anything new.
*/

import type {Trust} from './trust.js';

/** A single failure, and the retry after it, may be chance. */
const FAILURES_TO_SUSPEND = 3;
const FIRST_PAUSE_MS = 500;
/** Short enough that an upstream that was cut off for seconds is used again soon after. */
const MAX_PAUSE_MS = 2000;

/** `now` returns milliseconds that never go back. */
export const createSuspension = (now: () => number) => {
	let failures = 0;
	let lastFailureAt = -Infinity;
	let pauseMs = 0;
	let endsAt = -Infinity;
	let running = 0;

	const isSuspended = (): boolean => failures >= FAILURES_TO_SUSPEND;

	return {
		/** `isRepeatable`: whether a call that fails there may be sent to another upstream. Others wait for one pause more. */
		judge(isRepeatable: boolean): Trust {
			if (!isSuspended()) {
				return 'trusted';
			}

			return running === 0 && now() >= endsAt + (isRepeatable ? 0 : pauseMs) ? 'trial' : 'suspended';
		},
		/** Counts a call that is being sent. Returns what must be called when it ends: `undefined` if its end tells nothing of the upstream. */
		begin() {
			const beganAt = now();
			running++;
			return (isProven: boolean | undefined): void => {
				running--;
				if (isProven === undefined) {
					return;
				}

				if (isProven) {
					failures = 0;
					pauseMs = 0;
				} else if (beganAt >= lastFailureAt) {
					failures++;
					lastFailureAt = now();
					if (isSuspended()) {
						pauseMs = Math.min(MAX_PAUSE_MS, pauseMs === 0 ? FIRST_PAUSE_MS : pauseMs * 2);
						endsAt = lastFailureAt + pauseMs;
					}
				}
			};
		},
	};
};
