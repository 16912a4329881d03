/**
Type of a link, a connection to another process of the system.
*/
import type {Result} from 'neverthrow';
import type {Hello} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {MessageBody} from './message-body.js';
import type {MessageBodyInit} from './message-body-init.js';
import type {CallObserver} from './call-observer.js';
import type {CallOptions} from './call-options.js';
import type {LinkError} from './link-error.js';
import type {OpenCall} from './open-call.js';

/** A link on which both sides can send messages, make requests and reply. */
export type PeerLink = {
	/** The hello of the other side, which identifies it; `undefined` until it arrives. */
	readonly remote: () => Hello | undefined;
	readonly isOpen: () => boolean;
	/** Milliseconds since the last frame arrived, or since the link was created if none has. */
	readonly silentForMs: () => number;
	/** Sends a message that expects no reply. Does nothing on a closed link. */
	readonly send: (body: MessageBodyInit) => void;
	/** Sends a message and waits for its first reply. */
	readonly request: (body: MessageBodyInit, options: CallOptions) => Promise<Result<MessageBody, LinkError>>;
	/** Sends a message that may have several replies. */
	readonly openCall: (body: MessageBodyInit, observer: CallObserver, traceparent?: string) => OpenCall;
	/** Replies to the other side's envelope with the id `replyTo`. */
	readonly reply: (replyTo: number, body: MessageBodyInit) => void;
	/** Sends at once what may still wait; see `CallOptions`. */
	readonly flush: () => void;
	/** Calls `listener` once when the link closes, or immediately if it is closed already. */
	readonly onClosed: (listener: () => void) => void;
	readonly close: (reason: string) => void;
};
