/**
Tracks the load of every upstream as far as this process knows it.
*/
import type {CallHead} from '../call/call-head.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {UpstreamLoad} from './upstream-load.js';

/** A call that was sent to an upstream. */
type ActiveCall = {
	/** Must be called when the upstream begins to serve the call, for a stream with its first bytes and all others. */
	readonly markAnswered: () => void;
	/**
	`full`: refused for lack of capacity; `unproven`: the answer broke off or was none; `failed`: any other failure or refusal,
	or the upstream was unreachable; `left`: the caller left first.
	*/
	readonly end: (outcome: 'done' | 'left' | 'failed' | 'unproven' | 'full') => void;
};

export type LoadTracker = {
	/** The load of the upstream, with the part of the call's prompt that it is believed to hold. `isRepeatable`: whether the call may be sent once more if it fails there. */
	readonly getLoad: (upstream: Upstream, call: CallHead, isRepeatable: boolean) => UpstreamLoad;
	/** Milliseconds for which calls of this process have recently waited at the upstreams of the service. */
	readonly meanWaitMs: (service: string) => number;
	/** Counts a call that is being sent to the upstream. */
	readonly beginCall: (upstream: Upstream, call: CallHead) => ActiveCall;
	/** Drops what is known about a removed upstream. */
	readonly forget: (upstream: Upstream) => void;
};
