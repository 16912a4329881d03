/**
A sidecar's memory of the grants that were presented to it.
*/
import type {ClaimId} from '../ids/claim-id.js';
import type {Epoch} from '../ids/epoch.js';
import type {InstanceId} from '../ids/instance-id.js';
import type {ShardId} from '../ids/shard-id.js';
import type {GrantAdmission} from './grant-admission.js';

type PresentedGrant = {
	readonly claim: ClaimId;
	readonly shard: ShardId;
	readonly epoch: Epoch;
	/** Epoch whose sequence the claim's number belongs to. */
	readonly claimEpoch: Epoch;
	readonly sequence: number;
	readonly sidecarInstance: InstanceId;
	/** The grant may already have run, so it must not be started. */
	readonly attachOnly: boolean;
};

/** The authoritative record of which grants ran on one upstream during the lifetime of one sidecar instance. */
export type GrantRegistry = {
	/** Decides about a grant and remembers the decision; a refused grant stays refused. `isAccepting` tells whether the upstream takes such calls now. */
	readonly admit: (grant: PresentedGrant, isAccepting: boolean) => GrantAdmission;
	/** Refuses an admitted grant from now on, because it was dropped before it started. */
	readonly markRefused: (claim: ClaimId) => void;
	/** True unless a higher epoch has been seen for the shard. */
	readonly isCurrent: (shard: ShardId, epoch: Epoch) => boolean;
	/** Records the epoch of an owner's message; returns false if it is outdated. */
	readonly observeEpoch: (shard: ShardId, epoch: Epoch) => boolean;
	/** Number of remembered grants. */
	readonly size: () => number;
};
