/**
Type of a received message that is not a reply.
*/
import type {MessageBody} from './message-body.js';
import type {MessageBodyInit} from './message-body-init.js';
import type {PeerLink} from './peer-link.js';

/** A received message, with a function that replies to it once or several times. */
export type IncomingMessage = {
	readonly link: PeerLink;
	readonly body: MessageBody;
	/** W3C trace context of the sender's hop; empty if the sender gave none. */
	readonly traceparent: string;
	/** Sends one reply; does nothing if the link has closed. */
	readonly reply: (body: MessageBodyInit) => void;
};
