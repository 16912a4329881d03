/**
One call of a program as its shard's owner sees it.
*/
import type {ClaimId} from '../ids/claim-id.js';
import type {RequestId} from '../ids/request-id.js';
import type {TurnNumber} from '../ids/turn-number.js';
import type {UpstreamId} from '../ids/upstream-id.js';

/** The permission that was given for a call. */
type GivenGrant = {
	readonly claim: ClaimId;
	readonly sequence: number;
	readonly upstream: UpstreamId;
	readonly sidecarAddress: string;
	readonly sidecarInstance: string;
	/** Tokens reserved for the worst case. */
	readonly reservedTokens: number;
	/** The epoch of the owner that gave it; an earlier one than the present owner's after a takeover. */
	readonly epoch: number;
	/** Set for a claim found in the log at takeover: it may have run, so it is only ever attached to. */
	readonly inherited: boolean;
	readonly maxOutputTokens: number;
	readonly runAlone: boolean;
};

/** `claiming` while the claim is being made durable; `granted` from then until the turn is stored or the grant is released. */
export type OwnedCall = {
	readonly requestId: RequestId;
	readonly turn: TurnNumber;
	readonly idempotent: boolean;
	readonly fingerprint: string;
	state: 'claiming' | 'granted';
	grant?: GivenGrant;
	cancelled: boolean;
	/** Wall-clock time of the caller's deadline, in milliseconds. */
	deadlineAt: number;
};
