/**
Settings shared by all links of a process.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {Heartbeat, HeartbeatSchema, HelloSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {IncomingMessage} from './incoming-message.js';
import type {createHeartbeatTicker} from './create-heartbeat-ticker.js';
import type {PauseDetector} from './pause-detector.js';
import type {PeerLink} from './peer-link.js';

/** Identity, heartbeat timing and handlers of the process that owns the links. */
export type LinkSettings = {
	readonly hello: MessageInitShape<typeof HelloSchema>;
	/** Tells all links of the process when to send a heartbeat. */
	readonly heartbeatTicker: ReturnType<typeof createHeartbeatTicker>;
	/** A link that receives nothing for this long is closed. */
	readonly silenceMs: number;
	/** Returns the heartbeat to send on `link`. */
	readonly createHeartbeat: (link: PeerLink) => MessageInitShape<typeof HeartbeatSchema>;
	/** Whether the next heartbeat on `link` would tell the other side anything new; without it each one may. */
	readonly hasNews?: (link: PeerLink) => boolean;
	readonly onMessage: (message: IncomingMessage) => void;
	readonly onHeartbeat?: (link: PeerLink, heartbeat: Heartbeat) => void;
	/** Called with the reason for each message that cannot be encoded; it is not sent, and a request gets no reply. */
	readonly onUnsendable?: (reason: string) => void;
	readonly pauseDetector: PauseDetector;
};
