/**
Batches the envelopes of one event loop iteration into one frame, so that they
take one write instead of one each.
*/
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {sizeDelimitedEncode} from '@bufbuild/protobuf/wire';
import {type EnvelopeSchema, FrameSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {OutboundQueue} from './outbound-queue.js';

/** Creates an empty queue that passes the bytes of each frame to `write`. */
export const createOutboundQueue = (write: (bytes: Uint8Array) => void): OutboundQueue => {
	let pending: Array<MessageInitShape<typeof EnvelopeSchema>> = [];
	let isClosed = false;

	const flush = (): void => {
		const envelopes = pending;
		pending = [];
		if (!isClosed) {
			write(sizeDelimitedEncode(FrameSchema, create(FrameSchema, {envelopes})));
		}
	};

	return {
		push(envelope) {
			if (isClosed) {
				return;
			}

			if (pending.length === 0) {
				setImmediate(flush);
			}

			pending.push(envelope);
		},
		close() {
			isClosed = true;
		},
	};
};
