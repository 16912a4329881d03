/**
Orders that an owner gives to sidecars beside grants.
*/
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';

type Order = {
	readonly shard: ShardId;
	readonly epoch: Epoch;
};

/** Sends orders without waiting for their effect; a sidecar that is away reconciles later. */
export type SidecarOrders = {
	readonly cancelRun: (sidecarAddress: string, order: Order & {readonly claim: string}) => void;
	/** Tells the sidecars of these upstreams; a prefix that an earlier owner left elsewhere is found when its sidecar compares. */
	readonly releasePrefix: (order: Order & {readonly program: string; readonly upstreams: ReadonlySet<UpstreamId>}) => void;
};
