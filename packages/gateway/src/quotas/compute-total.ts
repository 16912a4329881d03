/**
Computes how many requests of a workspace all issuers together may grant in any
window.
*/
import type {QuotaBounds} from './quota-bounds.js';
import type {QuotaLimit} from './quota-limit.js';

/** Part of what the bound allows beyond the limit that is never granted: clocks may differ a little in their rate. */
const UNUSED_SHARE = 0.25;
const MS_PER_S = 1000;

/** Whole requests. */
export const computeTotal = ({ratePerS, burst}: QuotaLimit, {windowMs, overage, slack}: QuotaBounds): number => {
	const limit = (ratePerS * windowMs / MS_PER_S) + burst;
	return Math.floor(limit + ((1 - UNUSED_SHARE) * ((limit * overage) + slack)));
};
