/**
Baseline placement policy: the upstream with the fewest outstanding calls.
*/
import {listUsableUpstreams} from './list-usable-upstreams.js';
import type {PlacementPolicy} from './placement-policy.js';
import type {UpstreamView} from './upstream-view.js';

/** Compares the deciding process's own counts, which are never out of date. */
export const chooseLeastOutstanding: PlacementPolicy = (_call, upstreams) => {
	let best: UpstreamView | undefined;
	for (const upstream of listUsableUpstreams(upstreams)) {
		if (!best || upstream.outstanding < best.outstanding) {
			best = upstream;
		}
	}

	return best && {upstream: best.id};
};
