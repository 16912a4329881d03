/**
Connections to upstreams.
*/
import type {Dispatcher} from 'undici';
import type {Upstream} from '../upstreams/upstream.js';

/** One pool for each start of an upstream. */
export type UpstreamPools = {
	readonly get: (upstream: Upstream) => Dispatcher;
	/** Closes idle connections of an upstream that is gone; requests under way go on. */
	readonly drop: (upstream: Upstream) => void;
	readonly close: () => void;
};
