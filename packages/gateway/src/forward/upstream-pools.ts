/**
Connections to upstreams.
*/
import type {Dispatcher} from 'undici';
import type {Upstream} from '../upstreams/upstream.js';

/** Connections to one upstream, one request at a time on each. */
type UpstreamPool = Pick<Dispatcher, 'dispatch'>;

/** One pool for each start of an upstream. */
export type UpstreamPools = {
	readonly get: (upstream: Upstream) => UpstreamPool;
	/** Closes idle connections of an upstream that is gone; requests under way go on. */
	readonly drop: (upstream: Upstream) => void;
	readonly close: () => void;
};
