/**
Gathers the envelopes of one turn of the event loop into one frame, which costs
one write instead of many.
*/
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {sizeDelimitedEncode} from '@bufbuild/protobuf/wire';
import {type EnvelopeSchema, FrameSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {OutboundQueue} from './outbound-queue.js';

/** Creates an empty queue that hands each frame's bytes to `write`. */
export const createOutboundQueue = (write: (bytes: Uint8Array) => void): OutboundQueue => {
	let waiting: Array<MessageInitShape<typeof EnvelopeSchema>> = [];
	let isClosed = false;

	const flush = (): void => {
		const envelopes = waiting;
		waiting = [];
		if (!isClosed) {
			write(sizeDelimitedEncode(FrameSchema, create(FrameSchema, {envelopes})));
		}
	};

	return {
		push(envelope) {
			if (isClosed) {
				return;
			}

			if (waiting.length === 0) {
				setImmediate(flush);
			}

			waiting.push(envelope);
		},
		close() {
			isClosed = true;
		},
	};
};
