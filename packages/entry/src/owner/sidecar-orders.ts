/**
Orders, other than grants, that a shard's owner sends to sidecars.
*/
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';

type ShardEpoch = {
	readonly shard: ShardId;
	readonly epoch: Epoch;
};

/** Sends orders without waiting for their effect; a sidecar that cannot be reached reconciles later. */
export type SidecarOrders = {
	readonly cancelRun: (sidecarAddress: string, order: ShardEpoch & {readonly claim: string}) => void;
	/** Notifies the sidecars of these upstreams; a prefix that an earlier owner left elsewhere is found when its sidecar compares prefixes with the open programs. */
	readonly releasePrefix: (order: ShardEpoch & {readonly program: string; readonly upstreams: ReadonlySet<UpstreamId>}) => void;
};
