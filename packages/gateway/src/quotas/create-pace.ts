/**
Spreads what one issuer grants of a workspace over the window.

Load: a workspace asks for several times its limit for many seconds. By the count of
a window alone it would use all of it in half a second and then nothing until the
window is over, so that every program under way fails. The pace lets a quarter of it
go at once, and the rest evenly, at about the rate of the limit.
*/
import type {QuotaBounds} from './quota-bounds.js';
import type {QuotaLimit} from './quota-limit.js';
import {computePaceShares} from './compute-pace-shares.js';

/** Times are on one monotonic clock, in milliseconds. `room` is what the issuer may grant in any window. */
export const createPace = (bounds: QuotaBounds) => {
	let spent = 0;
	let at = -Infinity;

	const paceShare = (limit: QuotaLimit): number => computePaceShares(limit, bounds).paced;
	const refill = (now: number, room: number, limit: QuotaLimit): void => {
		spent = Math.max(0, spent - (at === -Infinity ? Infinity : (now - at) / bounds.windowMs * room * paceShare(limit)));
		at = now;
	};

	const countBurst = (room: number, limit: QuotaLimit): number => Math.max(1, room * computePaceShares(limit, bounds).atOnce);

	return {
		/** Requests that may be granted now. */
		count(now: number, room: number, limit: QuotaLimit): number {
			refill(now, room, limit);
			return countBurst(room, limit) - spent;
		},
		/** Counts requests that were granted; given back ones are negative. */
		spend(count: number): void {
			spent += count;
		},
		/** Milliseconds in which one more request may be granted. */
		intervalMs: (room: number, limit: QuotaLimit): number => bounds.windowMs / Math.max(1, room * paceShare(limit)),
		/** Requests that may be granted at once after a pause. */
		countBurst,
	};
};
