/**
An upstream of the directory: its identity, and what its sidecar and this owner
last reported or counted for it.
*/
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import type {Load} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

export type UpstreamStatus = {
	readonly id: UpstreamId;
	readonly kind: 'model' | 'service';
	readonly target: string;
	readonly dataCentre: string;
	readonly sidecarAddress: string;
	/** Instance id of the sidecar's process; undefined until its first load report. */
	readonly sidecarInstance?: string;
	readonly state: 'live' | 'leaving' | 'silent';
	readonly load?: Load;
	/** Wall-clock time of the last load report, in milliseconds; 0 before the first. */
	readonly reportedAt: number;
	/** Grants issued by this owner since the last report. */
	readonly sentSinceReport: number;
	/** Grants issued by this owner that have not ended. */
	readonly outstanding: number;
};
