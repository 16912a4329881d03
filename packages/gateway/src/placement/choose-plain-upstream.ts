/**
Chooses the upstream for a call without a prompt.

Expected load: short calls from several processes to upstreams with few slots
each, where a process sees only its own calls. Prefers the upstream with the
fewest own calls, then one in the same data centre. Ties are broken at random, so
that the processes don't all choose the same one.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import type {CallHead} from '../call/call-head.js';
import type {UpstreamLoad} from './upstream-load.js';

const OTHER_DATA_CENTRE_COST = 0.6;
const MAX_RANDOM_COST = 0.5;
/** Upstreams that handled an object recently are faster with it; the hash leads all processes to the same one. */
const MAX_AFFINITY_COST = 1;
const PENALTY_MS_PER_CALL = 20;

/** `random` returns uniformly distributed numbers in [0, 1). */
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
