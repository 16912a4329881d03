/**
Baseline: a program stays where its first call went.
*/
import type {ProgramId} from '../ids/program-id.js';
import type {UpstreamId} from '../ids/upstream-id.js';
import {chooseLeastOutstanding} from './choose-least-outstanding.js';
import {listUsableUpstreams} from './list-usable-upstreams.js';
import type {UpstreamChoice} from './upstream-choice.js';

/** Creates a choice that keeps a program on its upstream while that is usable, and starts it on the least outstanding. */
export const createStickyChoice = (): UpstreamChoice => {
	const homes = new Map<ProgramId, UpstreamId>();
	return (call, upstreams, now, random) => {
		const home = homes.get(call.program);
		if (home && listUsableUpstreams(upstreams).some(upstream => upstream.id === home)) {
			return {upstream: home};
		}

		const placement = chooseLeastOutstanding(call, upstreams, now, random);
		if (placement) {
			homes.set(call.program, placement.upstream);
		}

		return placement;
	};
};
