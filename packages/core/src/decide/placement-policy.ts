/**
The signature of placement policies, which choose an upstream for a call; baselines included.
*/
import type {UpstreamId} from '../ids/upstream-id.js';
import type {UnplacedCall} from './unplaced-call.js';
import type {Random} from './random.js';
import type {UpstreamView} from './upstream-view.js';

type Placement = {
	readonly upstream: UpstreamId;
	/** The upstream to import the prefix from before the call runs; absent if computing it is faster. */
	readonly importFrom?: UpstreamId;
};

/** Returns the placement of a call at time `now` (in milliseconds), or `undefined` if no upstream may take it. */
export type PlacementPolicy = (call: UnplacedCall, upstreams: readonly UpstreamView[], now: number, random: Random) => Placement | undefined;
