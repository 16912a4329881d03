/**
Runs a link over a TCP connection. Each frame is a protobuf message, preceded by
its size.

A bidirectional stream of Connect could carry the same frames, but its HTTP/2
and iterator layers cost several times the CPU time of a message of a few
hundred bytes (docs/design/processes-and-links.md).
*/
import type {Socket} from 'node:net';
import {createFrameBudget} from './create-frame-budget.js';
import {createFrameReader} from './create-frame-reader.js';
import {createLink} from './create-link.js';
import {createOutboundQueue} from './create-outbound-queue.js';
import type {LinkSettings} from './link-settings.js';
import type {PeerLink} from './peer-link.js';

/** Of all links of the process. The largest valid frame fits in, and the smallest process has 178 MB. */
const MAX_UNFINISHED_BYTES = 32 * 1024 * 1024;
const unfinishedFrames = createFrameBudget(MAX_UNFINISHED_BYTES);
/** Of all links of the process, beyond what each socket takes at once. */
const MAX_UNSENT_BYTES = 32 * 1024 * 1024;
const unsentFrames = createFrameBudget(MAX_UNSENT_BYTES);

/** Creates a link over `socket`. Closing either one closes the other. */
export const attachLink = (socket: Socket, settings: LinkSettings): PeerLink => {
	const outbound = createOutboundQueue({
		write(bytes) {
			if (!socket.write(bytes) && link.isOpen()) {
				unsentFrames.hold(closeUnread, socket.writableLength);
			}
		},
		onUnsendable: settings.onUnsendable,
	});
	const link = createLink(settings, outbound, () => {
		socket.destroy();
	});
	const closeUnread = (): void => {
		link.close('the other side reads too little of what it is sent');
	};

	socket.on('drain', () => {
		unsentFrames.hold(closeUnread, 0);
	});
	const reader = createFrameReader();
	const closeForRoom = (): void => {
		link.close('its unfinished frame is the largest of those that together are too large');
	};

	link.onClosed(() => {
		unfinishedFrames.hold(closeForRoom, 0);
		unsentFrames.hold(closeUnread, 0);
	});
	socket.setNoDelay(true);
	socket.on('data', (chunk: Uint8Array) => {
		try {
			for (const frame of reader.read(chunk)) {
				link.receive(frame);
			}

			if (link.isOpen()) {
				unfinishedFrames.hold(closeForRoom, reader.heldBytes());
			}
		} catch (error) {
			link.close(`received invalid data: ${String(error)}`);
		}
	});
	socket.on('error', error => {
		link.close(String(error));
	});
	socket.on('close', () => {
		link.close('the other side closed the connection');
	});
	return link;
};
