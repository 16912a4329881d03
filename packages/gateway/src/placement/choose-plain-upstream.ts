/**
Chooses the upstream of a plain service.

Pattern of load: short calls of several processes over upstreams with few slots
each, where one process sees its own calls only. Least own calls first, near
ones before far ones, and chance between equals so that processes do not choose
the same one.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import type {CallHead} from '../call/call-head.js';
import type {UpstreamLoad} from './upstream-load.js';

const OTHER_DATA_CENTRE_COST = 0.6;
const MAX_RANDOM_COST = 0.5;
/** An upstream that handled the object lately is faster; all processes look for it at the same place. */
const MAX_AFFINITY_COST = 1;
const PENALTY_MS_PER_CALL = 20;

/** `random` draws evenly from 0 to 1. */
export const choosePlainUpstream = (call: CallHead, loads: readonly UpstreamLoad[], isSticky: boolean, random: () => number): UpstreamLoad | undefined => {
	let best: {load: UpstreamLoad; cost: number} | undefined;
	for (const load of loads) {
		const tieBreakCost = isSticky && call.affinityKey !== undefined ? MAX_AFFINITY_COST * hashPair(call.affinityKey, load.upstream.id) : MAX_RANDOM_COST * random();
		const cost = load.running + (load.isNear ? 0 : OTHER_DATA_CENTRE_COST) + tieBreakCost + (load.penaltyMs / PENALTY_MS_PER_CALL);
		if (!best || cost < best.cost) {
			best = {load, cost};
		}
	}

	return best?.load;
};
