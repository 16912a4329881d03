/**
The call that holds the next turn of a program, as the owner of the shard tracks it.
*/
import type {ClaimId} from '../ids/claim-id.js';
import type {RequestId} from '../ids/request-id.js';
import type {TurnNumber} from '../ids/turn-number.js';
import type {UpstreamId} from '../ids/upstream-id.js';

/** The permission to run the call on one upstream. */
type IssuedGrant = {
	readonly claim: ClaimId;
	readonly sequence: number;
	readonly upstream: UpstreamId;
	readonly sidecarAddress: string;
	readonly sidecarInstance: string;
	/** Budget tokens reserved for the call's worst-case cost. */
	readonly reservedTokens: number;
	/** Epoch of the owner that issued it; after a takeover this is lower than the current owner's epoch. */
	readonly epoch: number;
	/** True for a claim found in the log at takeover: it may have run, so callers are only attached to it and it is never started again. */
	readonly inherited: boolean;
	readonly maxOutputTokens: number;
	readonly runAlone: boolean;
};

/** The state is `claiming` while the claim is being made durable, then `granted` until the turn is stored or the grant is released. */
export type OwnedCall = {
	readonly requestId: RequestId;
	readonly turn: TurnNumber;
	readonly idempotent: boolean;
	readonly fingerprint: string;
	state: 'claiming' | 'granted';
	grant?: IssuedGrant;
	cancelled: boolean;
	/** Wall-clock time of the caller's deadline, in milliseconds. */
	deadlineAt: number;
};
