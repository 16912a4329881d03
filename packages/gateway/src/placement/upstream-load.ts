/**
The load of one upstream as this process knows it, seen from one call.
*/
import type {Upstream} from '../upstreams/upstream.js';
import type {Trust} from './trust.js';

/** Covers only this process's calls; what other processes send to the same upstream shows in `waitMs` and `extraRunMs` alone. */
export type UpstreamLoad = {
	readonly upstream: Upstream;
	/** Active calls of this process at the upstream. */
	readonly running: number;
	/** Prompt tokens of calls whose response has not started. */
	readonly pendingPrefillTokens: number;
	/** Milliseconds for which a call that is sent now is expected to wait longer than at the fastest upstream of the service. */
	readonly waitMs: number;
	/** Prompt tokens that the upstream reads in a millisecond, as far as learned. */
	readonly readTokensPerMs: number;
	/** Milliseconds by which an answer takes longer there, once it has begun, than is usual for the service, as far as learned; negative if less. */
	readonly extraRunMs: number;
	/** Tokens of this call's prompt that the upstream is believed to hold. */
	readonly heldTokens: number;
	/** Milliseconds to add to the cost for recent failures and refusals and for a cold start. */
	readonly penaltyMs: number;
	/** Whether its last answers allow the call to be sent there while there are others. */
	readonly trust: Trust;
	/** The upstream is in this process's data centre. */
	readonly isNear: boolean;
};
