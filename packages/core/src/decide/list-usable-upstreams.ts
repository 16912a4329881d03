/**
Which upstreams may take new work.
*/
import type {UpstreamView} from './upstream-view.js';

/** Returns the live upstreams, or the suspect ones where none is live; never one that is leaving or silent. */
export const listUsableUpstreams = (upstreams: readonly UpstreamView[]): readonly UpstreamView[] => {
	const live = upstreams.filter(upstream => upstream.state === 'live');
	return live.length > 0 ? live : upstreams.filter(upstream => upstream.state === 'suspect');
};
