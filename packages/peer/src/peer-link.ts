/**
One open stream to another process of the system.
*/
import type {Result} from 'neverthrow';
import type {Hello} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {Body} from './body.js';
import type {BodyInit} from './body-init.js';
import type {CallObserver} from './call-observer.js';
import type {CallOptions} from './call-options.js';
import type {LinkError} from './link-error.js';
import type {OpenCall} from './open-call.js';

/** A link that either side may use to send, ask and answer. */
export type PeerLink = {
	/** Who the other side is; known once its hello arrived. */
	readonly remote: () => Hello | undefined;
	readonly isOpen: () => boolean;
	/** Milliseconds since anything arrived; since the link was made, where nothing has. */
	readonly silentForMs: () => number;
	/** Sends a message that expects no reply. Does nothing on a closed link. */
	readonly send: (body: BodyInit) => void;
	/** Sends a message and waits for its one reply. */
	readonly request: (body: BodyInit, options: CallOptions) => Promise<Result<Body, LinkError>>;
	/** Sends a message whose replies come one by one. */
	readonly openCall: (body: BodyInit, observer: CallObserver, traceparent?: string) => OpenCall;
	/** Answers an envelope of the other side. */
	readonly reply: (replyTo: number, body: BodyInit) => void;
	/** Calls back once when the link has closed; at once if it is closed already. */
	readonly onClosed: (listener: () => void) => void;
	readonly close: (reason: string) => void;
};
