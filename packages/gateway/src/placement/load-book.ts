/**
What this process knows of every upstream's load.
*/
import type {CallHead} from '../call/call-head.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {UpstreamLoad} from './upstream-load.js';

/** `begin` is told of each send; `answered` and `end` of how it went. */
type Visit = {
	/** The answer has begun. */
	readonly answered: () => void;
	/** `failed`: the upstream broke the call off, could not be reached or refused it. */
	readonly end: (outcome: 'done' | 'failed' | 'full') => void;
};

export type LoadBook = {
	readonly view: (upstream: Upstream, call: CallHead) => UpstreamLoad;
	readonly begin: (upstream: Upstream, call: CallHead) => Visit;
	readonly forget: (upstream: Upstream) => void;
};
