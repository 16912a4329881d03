/**
Implements a link without its transport; both sides run the same code. It matches
replies to requests by id, sends heartbeats, and closes a link that has gone
silent. Any message shows that its sender runs, so a link that carries messages
needs heartbeats only for what they tell.

HTTP/2 pings could not replace the heartbeats: a middlebox that has lost track of
a connection drops them without closing it, so only silence reveals the loss.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import {err, ok, type Result} from 'neverthrow';
import type {
	Envelope, EnvelopeSchema, Frame, Hello,
} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {MessageBody} from './message-body.js';
import type {MessageBodyInit} from './message-body-init.js';
import type {CallObserver} from './call-observer.js';
import {createLinkSender} from './create-link-sender.js';
import type {LinkError} from './link-error.js';
import type {LinkSettings} from './link-settings.js';
import type {OpenCall} from './open-call.js';
import type {OutboundQueue} from './outbound-queue.js';
import type {PeerLink} from './peer-link.js';

type EnvelopeInit = MessageInitShape<typeof EnvelopeSchema>;

/** A heartbeat is left out if something was sent within this share of the interval before, so that the other side never waits much longer than one interval. */
const RECENT_SHARE = 0.25;

type Link = PeerLink & {
	/** Handles one frame from the other side. */
	readonly receive: (frame: Frame) => void;
};

/** Creates a link that sends through `outbound`; `abort` closes the underlying connection. */
export const createLink = (settings: LinkSettings, outbound: OutboundQueue, abort: () => void): Link => {
	const observers = new Map<number, CallObserver>();
	const closeListeners: Array<() => void> = [];
	let lastReceivedAt = Date.now();
	let nextId = 1;
	let remote: Hello | undefined;
	let isOpen = true;
	const initialPauseCount = settings.pauseDetector.countPauses();
	const sender = createLinkSender(outbound);

	const close = (reason: string) => {
		if (!isOpen) {
			return;
		}

		isOpen = false;
		stopHeartbeats();
		sender.close();
		abort();
		const lost: LinkError = {kind: 'lost', message: reason};
		for (const observer of observers.values()) {
			observer.onLost(lost);
		}

		observers.clear();
		for (const listener of closeListeners) {
			listener();
		}
	};

	const stopHeartbeats = settings.heartbeatTicker.add(() => {
		if (Date.now() - lastReceivedAt > settings.silenceMs) {
			close(`received nothing for ${settings.silenceMs} ms`);
			return;
		}

		const hasSentRecently = sender.hasSentWithin(settings.heartbeatTicker.intervalMs * RECENT_SHARE);
		if (!hasSentRecently || settings.hasNews?.(link) !== false) {
			sender.sendNow({body: {case: 'heartbeat', value: settings.createHeartbeat(link)}});
		}
	});

	const startCall = (init: Pick<EnvelopeInit, 'body' | 'traceparent' | 'canWait'>, observer: CallObserver): OpenCall => {
		if (!isOpen) {
			queueMicrotask(() => {
				observer.onLost({kind: 'lost', message: 'the link is closed'});
			});
			return {close() {/* There is no call to close. */}};
		}

		const id = nextId++;
		observers.set(id, observer);
		const envelope = {...init, id};
		if (init.canWait) {
			sender.sendLater(envelope);
		} else {
			sender.send(envelope);
		}

		return {
			close() {
				observers.delete(id);
			},
		};
	};

	const request: PeerLink['request'] = async (body, {timeoutMs, traceparent = '', canWait = false}) => new Promise<Result<MessageBody, LinkError>>(resolve => {
		const call = startCall({body, traceparent, canWait}, {
			onReply(reply) {
				clearTimeout(timer);
				call.close();
				resolve(ok(reply));
			},
			onLost(lost) {
				clearTimeout(timer);
				resolve(err(lost));
			},
		});
		const timer = setTimeout(() => {
			call.close();
			resolve(err({kind: 'timeout', message: `no reply within ${timeoutMs} ms`}));
		}, timeoutMs);
	});

	const reply = (replyTo: number, body: MessageBodyInit) => {
		sender.send({replyTo, body});
	};

	const receiveEnvelope = (envelope: Envelope) => {
		const {body} = envelope;
		if (body.case === undefined) {
			return;
		}

		if (body.case === 'hello') {
			remote = body.value;
			return;
		}

		if (body.case === 'heartbeat') {
			settings.onHeartbeat?.(link, body.value);
			return;
		}

		if (envelope.replyTo > 0) {
			observers.get(envelope.replyTo)?.onReply(body);
			return;
		}

		settings.onMessage({
			link,
			body,
			traceparent: envelope.traceparent,
			reply(replyBody) {
				if (envelope.canWait) {
					sender.sendLater({replyTo: envelope.id, body: replyBody});
				} else {
					reply(envelope.id, replyBody);
				}
			},
		});
	};

	const link: Link = {
		remote: () => remote,
		isOpen: () => isOpen,
		silentForMs: () => Date.now() - lastReceivedAt,
		send(body) {
			sender.send({body});
		},
		request,
		openCall: (body, observer, traceparent = '') => startCall({body, traceparent}, observer),
		flush: sender.flush,
		reply,
		onClosed(listener) {
			if (isOpen) {
				closeListeners.push(listener);
			} else {
				listener();
			}
		},
		close,
		receive(frame) {
			if (settings.pauseDetector.isWaking() || settings.pauseDetector.countPauses() !== initialPauseCount) {
				close('the process was paused, so data buffered by its sockets is out of date');
				return;
			}

			lastReceivedAt = Date.now();
			sender.release();
			for (const envelope of frame.envelopes) {
				if (isOpen) {
					receiveEnvelope(envelope);
				}
			}
		},
	};

	sender.sendNow({body: {case: 'hello', value: settings.hello}});
	return link;
};
