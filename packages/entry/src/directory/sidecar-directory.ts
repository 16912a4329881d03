/**
The upstreams that an owner may choose from, with the loads that their sidecars
report.
*/
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import type {Heartbeat} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {UpstreamStatus} from './upstream-status.js';

export type SidecarDirectory = {
	readonly list: () => readonly UpstreamStatus[];
	/** Lists the upstreams that serve the model or plain service of this name. */
	readonly listFor: (target: string) => readonly UpstreamStatus[];
	/** Connects to every sidecar even if this entry owns no shard, so that an operator sees their loads. */
	readonly connectToAll: () => void;
	/** Keeps links open to all sidecars of the host list while this entry owns a shard. */
	readonly syncLinks: () => void;
	readonly receiveHeartbeat: (link: PeerLink, heartbeat: Heartbeat) => void;
	/** Counts a grant for the upstream as sent and outstanding. */
	readonly recordGrantSent: (id: UpstreamId) => void;
	/** Counts a grant for the upstream as no longer outstanding. */
	readonly recordGrantEnded: (id: UpstreamId) => void;
};
