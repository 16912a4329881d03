/**
The life of grants, derived from the window in which requests are counted.
*/

/** Long enough that a renewal that is lost can be repeated twice; what is granted to a gateway that ends lies idle for this time and the window. */
const GRANT_SHARE = 0.4;
/** Two renewals can be lost before a grant ends. */
const RENEWALS_PER_GRANT = 2.5;
/** A holder that has not heard of most other issuers for this time may have been removed from the list without knowing. */
const MAX_ALONE_MS = 10_000;

type GrantTimes = {
	/** In this time each process that is in touch knows of a declared change. */
	readonly applyWithinMs: number;
	/** A gateway may use a grant for so long after it asked for it. */
	readonly grantMs: number;
	/** A gateway reports what it used, and renews, after this time. */
	readonly renewMs: number;
	/** After this time nothing counts any more that was granted before. */
	readonly forgottenAfterMs: number;
	/** An issuer that has been alone for so long issues nothing. */
	readonly maxAloneMs: number;
	/** After this time nobody grants by a list of holders that has been replaced, and nothing counts that was granted by it. */
	readonly settledAfterMs: number;
};

/** All in milliseconds. */
export const deriveGrantTimes = (windowMs: number, applyWithinMs: number): GrantTimes => {
	const grantMs = GRANT_SHARE * windowMs;
	const forgottenAfterMs = windowMs + grantMs;
	return {
		applyWithinMs, grantMs, renewMs: grantMs / RENEWALS_PER_GRANT, forgottenAfterMs, maxAloneMs: MAX_ALONE_MS, settledAfterMs: MAX_ALONE_MS + applyWithinMs + forgottenAfterMs,
	};
};
