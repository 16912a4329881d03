/**
Tracks whether this process can reach a write quorum of holders, and tells a
short outage, such as a restart of the holders, from a process that is cut off
from them.

Guards against this load: one of several processes loses its connection to the
holders for ten seconds while callers keep their connections to that process,
and its links still look healthy for the first two seconds. Restarting holders
are back after about a second, so requests should wait that long for them. After
that, waiting would only delay each request before it is sent to another process.
*/

/** Equals the time for which a request may wait for holders. */
const CUT_OFF_AFTER_MS = 1200;
/** Timers may end a round slightly early as measured by `performance.now()`. */
const TIMER_SLACK_MS = 50;

/** `hasQuorum` returns whether the holders that sent something within the last `withinMs` milliseconds form a write quorum. */
export const createQuorumMonitor = (hasQuorum: (withinMs: number) => boolean) => {
	let failedAt = -Infinity;
	let lostAt: number | undefined;
	let hadQuorum = false;

	/** Ignores links that have been silent since a round failed: an open link does not prove that its holder answers. */
	const isReachable = (): boolean => hasQuorum(performance.now() - failedAt);

	return {
		isReachable,
		/** Records a round with too few answers that began at `startedAt` (`performance.now()`). A round that ended sooner than `CUT_OFF_AFTER_MS`, as near a deadline, proves nothing and is ignored. */
		recordFailedRound(startedAt: number): void {
			const now = performance.now();
			if (now - startedAt >= CUT_OFF_AFTER_MS - TIMER_SLACK_MS) {
				failedAt = now;
				lostAt ??= startedAt;
			}
		},
		/** Returns for how many milliseconds waiting for a quorum has been futile; 0 while it may still succeed. Always 0 in a process that never had a quorum, which waits for its first holders. */
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
