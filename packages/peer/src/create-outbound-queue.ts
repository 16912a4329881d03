/**
Batches the envelopes of one event loop iteration into one frame, so that they
take one write instead of one each.
*/
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {sizeDelimitedEncode} from '@bufbuild/protobuf/wire';
import {type EnvelopeSchema, FrameSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {OutboundQueue} from './outbound-queue.js';

type EnvelopeInit = MessageInitShape<typeof EnvelopeSchema>;

type QueueOptions = {
	readonly write: (bytes: Uint8Array) => void;
	/** Called with the reason for each envelope that cannot be encoded and is left out. */
	readonly onUnsendable?: ((reason: string) => void) | undefined;
};

const encode = (envelopes: readonly EnvelopeInit[]): Uint8Array => sizeDelimitedEncode(FrameSchema, create(FrameSchema, {envelopes: [...envelopes]}));

/** Creates an empty queue that passes the bytes of each frame to `write`. */
export const createOutboundQueue = ({write, onUnsendable}: QueueOptions): OutboundQueue => {
	let pending: EnvelopeInit[] = [];
	let isClosed = false;

	const writeEach = (envelopes: readonly EnvelopeInit[]): void => {
		for (const envelope of envelopes) {
			try {
				write(encode([envelope]));
			} catch (error) {
				onUnsendable?.(`${envelope.body?.case ?? 'message'}: ${String(error)}`);
			}
		}
	};

	const flush = (): void => {
		const envelopes = pending;
		pending = [];
		if (isClosed) {
			return;
		}

		let frame: Uint8Array;
		try {
			frame = encode(envelopes);
		} catch {
			// Reported for the envelope that caused it.
			writeEach(envelopes);
			return;
		}

		write(frame);
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
