/**
One upstream as an owner sees it.
*/
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import type {Load} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** What the owner knows of an upstream and its sidecar. */
export type UpstreamEntry = {
	readonly id: UpstreamId;
	readonly kind: 'model' | 'service';
	readonly target: string;
	readonly dataCentre: string;
	readonly sidecarAddress: string;
	/** Lifetime of the sidecar; undefined until it has said hello. */
	readonly sidecarInstance?: string;
	readonly state: 'live' | 'leaving' | 'silent';
	readonly load?: Load;
	/** Wall-clock time of the last load report, in milliseconds; 0 before the first. */
	readonly reportedAt: number;
	/** Grants given by this owner since the last report. */
	readonly sentSinceReport: number;
	/** Grants given by this owner that have not ended. */
	readonly outstanding: number;
};
