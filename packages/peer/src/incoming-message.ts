/**
A message of the other side that is no reply.
*/
import type {Body} from './body.js';
import type {BodyInit} from './body-init.js';
import type {PeerLink} from './peer-link.js';

/** A received message with the means to answer it, once or several times. */
export type IncomingMessage = {
	readonly link: PeerLink;
	readonly body: Body;
	/** W3C trace context of the sender's hop; empty if it sent none. */
	readonly traceparent: string;
	/** Sends one reply; does nothing if the link has closed meanwhile. */
	readonly reply: (body: BodyInit) => void;
};
