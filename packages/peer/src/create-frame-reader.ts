/**
Reads frames from the bytes of a connection. Each frame is a protobuf message, preceded
by its size.
*/
import {fromBinary} from '@bufbuild/protobuf';
import {sizeDelimitedPeek} from '@bufbuild/protobuf/wire';
import {FrameSchema, type Frame} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** A larger announced size means a corrupt stream; the largest valid frames have a few megabytes, as they hold whole turns. */
const MAX_FRAME_BYTES = 32 * 1024 * 1024;
const GROWTH = 2;
const EMPTY = new Uint8Array();

type FrameReader = {
	/** Takes received bytes and returns the frames completed by them. Throws if the bytes are no valid frames. */
	readonly read: (chunk: Uint8Array) => Frame[];
	/** Bytes of memory that the unfinished frame takes. */
	readonly heldBytes: () => number;
};

export const createFrameReader = (): FrameReader => {
	let buffer: Uint8Array = EMPTY;
	let length = 0;

	/** The bytes are copied once for each doubling, and not with each chunk. */
	const append = (chunk: Uint8Array): Uint8Array => {
		const needed = length + chunk.length;
		if (needed > buffer.length) {
			const larger = new Uint8Array(Math.max(needed, buffer.length * GROWTH));
			larger.set(buffer.subarray(0, length));
			buffer = larger;
		}

		buffer.set(chunk, length);
		length = needed;
		return buffer.subarray(0, length);
	};

	/** Messages refer to the bytes that they were read from, so these are never written again. */
	const keep = (rest: Uint8Array): void => {
		buffer = rest.length === 0 ? EMPTY : new Uint8Array(rest);
		length = rest.length;
	};

	return {
		read(chunk) {
			const bytes = length > 0 ? append(chunk) : chunk;
			const frames: Frame[] = [];
			let start = 0;
			while (start < bytes.length) {
				const {size, offset, eof} = sizeDelimitedPeek(bytes.subarray(start));
				if (size !== null && size > MAX_FRAME_BYTES) {
					throw new Error(`frame of ${size} bytes is too large`);
				}

				if (eof || start + offset + size > bytes.length) {
					break;
				}

				frames.push(fromBinary(FrameSchema, bytes.subarray(start + offset, start + offset + size)));
				start += offset + size;
			}

			if (start > 0 || length === 0) {
				keep(bytes.subarray(start));
			}

			return frames;
		},
		heldBytes: () => buffer.length,
	};
};
