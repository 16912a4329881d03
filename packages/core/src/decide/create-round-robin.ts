/**
Baseline: upstreams in turn.
*/
import {listUsableUpstreams} from './list-usable-upstreams.js';
import type {UpstreamChoice} from './upstream-choice.js';

/** Creates a round robin over the usable upstreams, with its own position. */
export const createRoundRobin = (): UpstreamChoice => {
	let position = 0;
	return (_call, upstreams) => {
		const usable = listUsableUpstreams(upstreams);
		const chosen = usable[position++ % Math.max(1, usable.length)];
		return chosen && {upstream: chosen.id};
	};
};
