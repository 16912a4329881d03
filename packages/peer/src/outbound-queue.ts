/**
Type of the send queue of a link.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {EnvelopeSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** Queues envelopes to send. After `close` nothing is sent any more, not even what is queued. */
export type OutboundQueue = {
	readonly push: (envelope: MessageInitShape<typeof EnvelopeSchema>) => void;
	readonly close: () => void;
};
