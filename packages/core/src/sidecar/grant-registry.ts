/**
What a sidecar remembers of the grants it has met.
*/
import type {ClaimId} from '../ids/claim-id.js';
import type {Epoch} from '../ids/epoch.js';
import type {InstanceId} from '../ids/instance-id.js';
import type {ShardId} from '../ids/shard-id.js';
import type {Admission} from './admission.js';

type PresentedGrant = {
	readonly claim: ClaimId;
	readonly shard: ShardId;
	readonly epoch: Epoch;
	/** Epoch under which the claim was numbered. */
	readonly claimEpoch: Epoch;
	readonly sequence: number;
	readonly sidecarInstance: InstanceId;
	/** The grant may have run already: never start it anew. */
	readonly attachOnly: boolean;
};

/** The last word on what ran on one upstream during one lifetime of its sidecar. */
export type GrantRegistry = {
	/** Decides about a grant and remembers it: what is refused once stays refused. */
	readonly admit: (grant: PresentedGrant, isAccepting: boolean) => Admission;
	/** Refuses the grant from now on, because it was dropped before it started. */
	readonly refuseLater: (claim: ClaimId) => void;
	/** True unless an owner with a higher epoch has spoken for the shard. */
	readonly isCurrent: (shard: ShardId, epoch: Epoch) => boolean;
	/** Notes the epoch of an order; returns whether it is still current. */
	readonly observeEpoch: (shard: ShardId, epoch: Epoch) => boolean;
	/** Number of grants remembered. */
	readonly size: () => number;
};
