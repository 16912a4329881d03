/**
Runs a link over a TCP connection, as frames with their size before them, by
the codec of the protobuf library.

Connect's bidirectional streams carry the same frames; their HTTP/2 and iterator
layers cost several times the processor time of a message that holds a few
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

/** Larger frames are taken as damage; the largest real ones carry a few hundred kilobytes. */
const MAX_FRAME_BYTES = 64 * 1024 * 1024;

/** Gives whole frames out; throws where the bytes are no frames. */
const createFrameReader = () => {
	let rest: Uint8Array = new Uint8Array();
	return (chunk: Uint8Array): Frame[] => {
		rest = rest.length > 0 ? Buffer.concat([rest, chunk]) : chunk;
		const frames: Frame[] = [];
		while (rest.length > 0) {
			const {size, offset, eof} = sizeDelimitedPeek(rest);
			if (size !== null && size > MAX_FRAME_BYTES) {
				throw new Error(`a frame of ${size} bytes was announced`);
			}

			if (eof || offset + size > rest.length) {
				return frames;
			}

			frames.push(fromBinary(FrameSchema, rest.subarray(offset, offset + size)));
			rest = rest.subarray(offset + size);
		}

		return frames;
	};
};

/** The link closes with the connection, and the connection with the link. */
export const attachLink = (socket: Socket, settings: LinkSettings): PeerLink => {
	const outbound = createOutboundQueue(bytes => {
		socket.write(bytes);
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
			link.close(`unreadable bytes arrived: ${String(error)}`);
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
