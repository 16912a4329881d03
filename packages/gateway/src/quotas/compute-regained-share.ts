/**
Computes which share of its room an issuer may grant again after a restart, when it
has forgotten what it granted.

Failure: all copy holders are killed or lose power at once, and callers go on sending.
An issuer that waits until everything before its restart counts no more leaves all
workspaces without a grant for longer than a window. But what it granted before was
paced, so the more of the window lies after the restart the less of it can have been
used before. As much as the pace had allowed in that time may be granted again, less
what may have been granted or kept in hand beside the pace.
*/
import type {computePaceShares} from './compute-pace-shares.js';
import type {deriveGrantTimes} from './grant-times.js';

/** Share of the room that gateways may have in hand from before the pause in which they used little. */
const HELD_SHARE = 0.2;

type Restart = {
	/** Milliseconds since the process started. */
	readonly sinceMs: number;
	readonly windowMs: number;
	readonly times: Pick<ReturnType<typeof deriveGrantTimes>, 'grantMs' | 'forgottenAfterMs'>;
	readonly pace: ReturnType<typeof computePaceShares>;
};

/** From 0 to 1. */
export const computeRegainedShare = ({sinceMs, windowMs, times: {grantMs, forgottenAfterMs}, pace: {paced, atOnce}}: Restart): number => {
	if (sinceMs >= forgottenAfterMs) {
		return 1;
	}

	// Until then gateways may use what was granted before.
	const unusedMs = Math.max(0, sinceMs - grantMs);
	const beside = Math.max(0, paced + atOnce - 1) + HELD_SHARE;
	return Math.min(1, Math.max(0, (paced * unusedMs / windowMs) - beside));
};
