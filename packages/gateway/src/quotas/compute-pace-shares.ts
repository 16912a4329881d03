/**
Computes how fast an issuer grants what it may grant of a workspace in a window.
*/
import {computeTotal} from './compute-total.js';
import type {QuotaBounds} from './quota-bounds.js';
import type {QuotaLimit} from './quota-limit.js';

/** The pace as a share of what the limit allows in a window; the difference makes up for what is lost on the way. */
const PACED_SHARE = 1.06;
/** Share of all that may be granted in a window which may be granted at once. */
const MIN_BURST_SHARE = 0.25;

/** Shares of the room of an issuer: `paced` is spread over the window, `atOnce` may be granted after a pause. */
export const computePaceShares = (limit: QuotaLimit, bounds: QuotaBounds): {readonly paced: number; readonly atOnce: number} => {
	const paced = PACED_SHARE * computeTotal(limit, {...bounds, overage: 0, slack: 0}) / computeTotal(limit, bounds);
	return {paced, atOnce: Math.max(1 - paced, MIN_BURST_SHARE)};
};
