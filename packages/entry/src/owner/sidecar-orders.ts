/**
Orders that an owner gives to sidecars beside grants.
*/
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';

type Order = {
	readonly shard: ShardId;
	readonly epoch: Epoch;
};

/** Sends orders without waiting for their effect; a sidecar that is away reconciles later. */
export type SidecarOrders = {
	readonly cancelRun: (sidecarAddress: string, order: Order & {readonly claim: string}) => void;
	/** Tells every sidecar, since a program may have left prefixes on several engines. */
	readonly releasePrefix: (order: Order & {readonly program: string}) => void;
};
