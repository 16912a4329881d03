/**
Baseline: the upstream with the fewest calls outstanding.
*/
import {listUsableUpstreams} from './list-usable-upstreams.js';
import type {UpstreamChoice} from './upstream-choice.js';
import type {UpstreamView} from './upstream-view.js';

/** Chooses by the deciding process's own count, which is never late. */
export const chooseLeastOutstanding: UpstreamChoice = (_call, upstreams) => {
	let best: UpstreamView | undefined;
	for (const upstream of listUsableUpstreams(upstreams)) {
		if (!best || upstream.outstanding < best.outstanding) {
			best = upstream;
		}
	}

	return best && {upstream: best.id};
};
