/**
The upstreams that this process may send to.
*/
import type {Upstream} from './upstream.js';

/** Filled from the registered list of upstreams; unreadable entries are left out. */
export type UpstreamDirectory = {
	/** Adds an upstream or updates it, unless the report is older than the known one. */
	readonly update: (upstream: Upstream) => void;
	readonly remove: (id: string) => void;
	/** Notes that this start of an upstream has said itself that it is leaving, whatever its entry says from now on. Returns whether that is news. */
	readonly markLeaving: (upstream: Upstream) => boolean;
	/** The upstreams of a service that are not leaving. */
	readonly list: (service: string) => readonly Upstream[];
	readonly get: (id: string) => Upstream | undefined;
	/** Calls `listener` with each start of an upstream that has ended: it was removed, or replaced by a newer start. */
	readonly onEnd: (listener: (upstream: Upstream) => void) => void;
};
