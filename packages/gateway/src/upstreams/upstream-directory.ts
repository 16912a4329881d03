/**
The upstreams that this process may send to.
*/
import type {Upstream} from './upstream.js';

/** Fed by the list of upstreams; an unreadable entry names no upstream. */
export type UpstreamDirectory = {
	readonly update: (upstream: Upstream) => void;
	readonly remove: (id: string) => void;
	/** The usable upstreams of a service. */
	readonly list: (service: string) => readonly Upstream[];
	readonly get: (id: string) => Upstream | undefined;
	readonly onGone: (listener: (upstream: Upstream) => void) => void;
};
