/**
Baseline placement policy: round robin.
*/
import {listUsableUpstreams} from './list-usable-upstreams.js';
import type {PlacementPolicy} from './placement-policy.js';

/** Creates a policy that cycles through the usable upstreams from a position of its own. */
export const createRoundRobin = (): PlacementPolicy => {
	let position = 0;
	return (_call, upstreams) => {
		const usable = listUsableUpstreams(upstreams);
		const chosen = usable[position++ % Math.max(1, usable.length)];
		return chosen && {upstream: chosen.id};
	};
};
