/**
Tells a process that is cut off from the holders from one that waits for them to
come back.

Pattern of load: one of several processes loses its way to the holders for ten
seconds while callers keep their connections to it, and its links look sound for
the first two. Holders that restart are back within a second or so, and a request
does better to wait for them; after that time each further one would only be held
before it is sent elsewhere.
*/

/** As long as a request may wait for holders. */
const CUT_OFF_AFTER_MS = 1200;
/** Timers may end a round a little before its whole time has passed by another clock. */
const TIMER_SLACK_MS = 50;

/** `hasQuorum` says whether enough holders can be reached, of those only that were heard of in the last `withinMs`. */
export const createReachWatch = (hasQuorum: (withinMs: number) => boolean) => {
	let failedAt = -Infinity;
	let lostAt: number | undefined;
	let hadQuorum = false;

	/** A link that has been silent since a round failed proves nothing. */
	const isReachable = (): boolean => hasQuorum(performance.now() - failedAt);

	return {
		isReachable,
		/** A round that got too few answers from `startedAt` on, by the steady clock. */
		noteFailedRound(startedAt: number): void {
			const now = performance.now();
			if (now - startedAt >= CUT_OFF_AFTER_MS - TIMER_SLACK_MS) {
				failedAt = now;
				lostAt ??= startedAt;
			}
		},
		/** Milliseconds for which waiting for a quorum has been of no use; 0 while it may be of some, as in a process that never had one. */
		cutOffForMs(): number {
			if (isReachable()) {
				hadQuorum = true;
				lostAt = undefined;
				return 0;
			}

			lostAt ??= performance.now();
			return hadQuorum ? Math.max(0, performance.now() - lostAt - CUT_OFF_AFTER_MS + TIMER_SLACK_MS) : 0;
		},
	};
};
