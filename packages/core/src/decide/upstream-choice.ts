/**
The type of every policy that chooses an upstream, baselines included.
*/
import type {UpstreamId} from '../ids/upstream-id.js';
import type {CallView} from './call-view.js';
import type {Random} from './random.js';
import type {UpstreamView} from './upstream-view.js';

type Placement = {
	readonly upstream: UpstreamId;
	/** The engine whose copy of the prefix is to be imported first, where that beats computing it again. */
	readonly importFrom?: UpstreamId;
};

/** Places a call at time `now`, or returns `undefined` where no upstream may take it. */
export type UpstreamChoice = (call: CallView, upstreams: readonly UpstreamView[], now: number, random: Random) => Placement | undefined;
