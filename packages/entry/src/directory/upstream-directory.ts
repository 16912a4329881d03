/**
The upstreams that an owner may choose from.
*/
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import type {Heartbeat} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {UpstreamEntry} from './upstream-entry.js';

/** Follows the sidecars' own reports, which are ahead of the platform's list. */
export type UpstreamDirectory = {
	readonly list: () => readonly UpstreamEntry[];
	/** Those that serve the model or plain service of this name. */
	readonly listFor: (target: string) => readonly UpstreamEntry[];
	/** Dials every sidecar also if this entry owns no shard, so that an operator sees their loads. */
	readonly follow: () => void;
	/** Keeps links open to all sidecars of the host list while this entry owns a shard. */
	readonly sync: () => void;
	readonly receiveHeartbeat: (link: PeerLink, heartbeat: Heartbeat) => void;
	readonly noteSent: (id: UpstreamId) => void;
	readonly noteEnded: (id: UpstreamId) => void;
};
