/**
What this process knows of every upstream's load.
*/
import type {CallHead} from '../call/call-head.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {UpstreamLoad} from './upstream-load.js';

/** `begin` is told of each send; `answered` and `end` of how it went. */
type ActiveCall = {
	/** The answer has begun. */
	readonly markAnswered: () => void;
	/** `failed`: the upstream broke the call off, could not be reached or refused it. */
	readonly end: (outcome: 'done' | 'failed' | 'full') => void;
};

export type LoadTracker = {
	readonly getLoad: (upstream: Upstream, call: CallHead) => UpstreamLoad;
	readonly beginCall: (upstream: Upstream, call: CallHead) => ActiveCall;
	readonly forget: (upstream: Upstream) => void;
};
