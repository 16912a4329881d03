/**
The connection pools of all upstreams.
*/
import type {Dispatcher} from 'undici';
import type {Upstream} from '../upstreams/upstream.js';

/** The connections to one upstream; each carries one request at a time. */
type UpstreamPool = Pick<Dispatcher, 'dispatch'>;

/** A restarted upstream gets a new pool. */
export type UpstreamPools = {
	readonly get: (upstream: Upstream) => UpstreamPool;
	/** Closes the connections to a removed upstream once their active requests have ended. */
	readonly drop: (upstream: Upstream) => void;
	readonly close: () => void;
};
