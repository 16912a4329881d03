/**
Computes how many requests of a workspace one issuer may grant in any window.

Load: one workspace sends many times what it may through all gateways, while
issuers fail, freeze, and are cut off from each other. Issuers divide the bound, so
that no message between them is needed for it to hold. An ordinary day takes a good
half of a limit, so what two of five issuers withhold while they are away is not
missed.
*/
import {computeTotal} from './compute-total.js';
import type {QuotaBounds} from './quota-bounds.js';
import type {QuotaLimit} from './quota-limit.js';

/** `position` is that of the issuer among `count`, from 0. What does not divide evenly goes to the first ones. */
export const computeRoom = (limit: QuotaLimit, bounds: QuotaBounds, {position, count}: {readonly position: number; readonly count: number}): number =>
	Math.floor((computeTotal(limit, bounds) + count - 1 - position) / count);
