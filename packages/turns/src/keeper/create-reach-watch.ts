/**
Tells a process that is cut off from the holders from one that waits for them to
come back.

Pattern of load: one of several processes loses its way to the holders for ten
seconds while callers keep their connections to it. Holders that restart are
back within a second or so, and a request does better to wait for them; after
that time each further one would only be held before it is sent elsewhere.
*/

/** As long as a request may wait for holders. */
const CUT_OFF_AFTER_MS = 1200;

/** `hasQuorum` says whether enough holders can be reached now. */
export const createReachWatch = (hasQuorum: () => boolean) => {
	let lostAt: number | undefined;
	let hadQuorum = false;
	return {
		/** No quorum has been in reach for so long that waiting for one is of no use; a process that never had one waits. */
		isCutOff(): boolean {
			if (hasQuorum()) {
				hadQuorum = true;
				lostAt = undefined;
				return false;
			}

			lostAt ??= performance.now();
			return hadQuorum && performance.now() - lostAt >= CUT_OFF_AFTER_MS;
		},
	};
};
