/**
Runs a link over a TCP connection. Each frame is a protobuf message, preceded by
its size.

A bidirectional stream of Connect could carry the same frames, but its HTTP/2
and iterator layers cost several times the CPU time of a message of a few
hundred bytes (docs/design/processes-and-links.md).
*/
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {fromBinary} from '@bufbuild/protobuf';
import {sizeDelimitedPeek} from '@bufbuild/protobuf/wire';
import {FrameSchema, type Frame} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {createLink} from './create-link.js';
import {createOutboundQueue} from './create-outbound-queue.js';
import type {LinkSettings} from './link-settings.js';
import type {PeerLink} from './peer-link.js';

/** A larger announced size means a corrupt stream; the largest valid frames have a few hundred kilobytes. */
const MAX_FRAME_BYTES = 64 * 1024 * 1024;

/** Returns a function that takes received bytes and returns the frames completed by them. It throws if the bytes are no valid frames. */
const createFrameReader = () => {
	let buffered: Uint8Array = new Uint8Array();
	return (chunk: Uint8Array): Frame[] => {
		buffered = buffered.length > 0 ? Buffer.concat([buffered, chunk]) : chunk;
		const frames: Frame[] = [];
		while (buffered.length > 0) {
			const {size, offset, eof} = sizeDelimitedPeek(buffered);
			if (size !== null && size > MAX_FRAME_BYTES) {
				throw new Error(`frame of ${size} bytes is too large`);
			}

			if (eof || offset + size > buffered.length) {
				return frames;
			}

			frames.push(fromBinary(FrameSchema, buffered.subarray(offset, offset + size)));
			buffered = buffered.subarray(offset + size);
		}

		return frames;
	};
};

/** Creates a link over `socket`. Closing either one closes the other. */
export const attachLink = (socket: Socket, settings: LinkSettings): PeerLink => {
	const outbound = createOutboundQueue({
		write(bytes) {
			socket.write(bytes);
		},
		onUnsendable: settings.onUnsendable,
	});
	const link = createLink(settings, outbound, () => {
		socket.destroy();
	});
	const readFrames = createFrameReader();
	socket.setNoDelay(true);
	socket.on('data', chunk => {
		try {
			for (const frame of readFrames(chunk)) {
				link.receive(frame);
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
