/**
Selects the upstreams that may take new calls.
*/
import type {UpstreamView} from './upstream-view.js';

/** Returns the live upstreams, or the suspect ones if none is live; never a leaving or silent one. */
export const listUsableUpstreams = (upstreams: readonly UpstreamView[]): readonly UpstreamView[] => {
	const live = upstreams.filter(upstream => upstream.state === 'live');
	return live.length > 0 ? live : upstreams.filter(upstream => upstream.state === 'suspect');
};
