/**
Derives how often the platform's service is read from the time within which an
accepted change must be in force.
*/

/** A change waits for at most one interval at a relay. */
const INTERVAL_SHARE = 0.35;
/** The rest of the time is left for an own read after a relay has fallen silent. */
const SILENCE_SHARE = 0.6;

/** All times are in milliseconds. */
export const deriveReadTimes = (applyWithinMs: number): {readonly intervalMs: number; readonly relaySilenceMs: number} => ({
	intervalMs: Math.round(applyWithinMs * INTERVAL_SHARE),
	relaySilenceMs: Math.round(applyWithinMs * SILENCE_SHARE),
});
