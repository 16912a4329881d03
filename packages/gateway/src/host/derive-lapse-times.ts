/**
Derives how long entries of upstreams outlast an outage of the platform's service
from the interval at which upstreams renew them.
*/

/** An entry that nobody renews is removed after so many intervals. */
const LAPSE_INTERVALS = 3;
/** A renewal may just have come when the outage began, so an entry outlasts so many whole intervals of it. */
const OUTLASTED_INTERVALS = 2;
/** Share of the time that entries outlast which may pass without news before an outage counts as possible. */
const PAUSE_SHARE = 0.625;
/** Longer than between two reads, also those that a relay passes on. */
const MAX_PAUSE_MS = 1500;
/** For the read that shows the removal. */
const READ_MARGIN_MS = 400;

type LapseTimes = {
	/** Without news for longer, an entry may have lapsed in an outage that this process did not notice. */
	readonly maxPauseMs: number;
	/** With news all the time for so long, every entry that an earlier outage made lapse has been removed. */
	readonly minServedMs: number;
	/** What a neighbour said within this time of an outage's end still holds: nothing has lapsed since. */
	readonly neighbourMaxAgeMs: number;
};

/** All times are in milliseconds. */
export const deriveLapseTimes = (renewalMs: number): LapseTimes => {
	const outlastedMs = OUTLASTED_INTERVALS * renewalMs;
	const maxPauseMs = Math.min(MAX_PAUSE_MS, outlastedMs * PAUSE_SHARE);
	return {maxPauseMs, minServedMs: (LAPSE_INTERVALS * renewalMs) + READ_MARGIN_MS, neighbourMaxAgeMs: outlastedMs - maxPauseMs};
};
