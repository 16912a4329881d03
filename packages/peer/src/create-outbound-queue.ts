/**
Gathers the envelopes of one turn of the event loop into one frame, which costs
one write instead of many.
*/
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {type EnvelopeSchema, FrameSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {OutboundQueue} from './outbound-queue.js';

/** Creates an empty queue; `frames` may be consumed once. */
export const createOutboundQueue = (): OutboundQueue => {
	let waiting: Array<MessageInitShape<typeof EnvelopeSchema>> = [];
	let closed = false;
	let wake: (() => void) | undefined;

	const signal = () => {
		wake?.();
		wake = undefined;
	};

	const waitForWork = async () => new Promise<void>(resolve => {
		wake = resolve;
	});

	return {
		push(envelope) {
			if (!closed) {
				waiting.push(envelope);
				signal();
			}
		},
		close() {
			closed = true;
			signal();
		},
		async * frames() {
			for (;;) {
				const envelopes = waiting;
				waiting = [];
				if (envelopes.length > 0) {
					yield create(FrameSchema, {envelopes});
				} else if (closed) {
					return;
				} else {
					await waitForWork();
				}
			}
		},
	};
};
