/**
Baseline placement policy: all calls of a program go to the same upstream.
*/
import type {ProgramId} from '../ids/program-id.js';
import type {UpstreamId} from '../ids/upstream-id.js';
import {chooseLeastOutstanding} from './choose-least-outstanding.js';
import {listUsableUpstreams} from './list-usable-upstreams.js';
import type {PlacementPolicy} from './placement-policy.js';

/** Creates a policy that keeps a program on its upstream while that is usable, and otherwise assigns it to the upstream with the fewest outstanding calls. */
export const createStickyPlacement = (): PlacementPolicy => {
	const upstreamByProgram = new Map<ProgramId, UpstreamId>();
	return (call, upstreams, now, random) => {
		const assigned = upstreamByProgram.get(call.program);
		if (assigned && listUsableUpstreams(upstreams).some(upstream => upstream.id === assigned)) {
			return {upstream: assigned};
		}

		const placement = chooseLeastOutstanding(call, upstreams, now, random);
		if (placement) {
			upstreamByProgram.set(call.program, placement.upstream);
		}

		return placement;
	};
};
