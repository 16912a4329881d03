/**
The connection pools of all upstreams.
*/
import type {Dispatcher} from 'undici';
import type {Upstream} from '../upstreams/upstream.js';

/** The connections to one upstream; each carries one request at a time. */
export type UpstreamPool = {
	/**
	Sends a request on the first connection that is free; requests that find none wait in the order in which they came.
	`build` is called when the request is sent, and returns `undefined` if it must not be sent any more. `onDropped` is called
	instead if the upstream is removed first. Returns a function that takes the request back while it waits.
	*/
	readonly dispatch: (build: () => Dispatcher.DispatchOptions | undefined, handler: Dispatcher.DispatchHandler, onDropped: () => void) => () => void;
};

/** A restarted upstream gets a new pool. */
export type UpstreamPools = {
	readonly get: (upstream: Upstream) => UpstreamPool;
	/** Closes the connections to a removed upstream once their active requests have ended; what waits for one is not sent. */
	readonly drop: (upstream: Upstream) => void;
	readonly close: () => void;
};
