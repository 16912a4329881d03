/**
The sending half of a link.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {EnvelopeSchema, Frame} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** Envelopes waiting to leave, and the frames that carry them. */
export type OutboundQueue = {
	readonly push: (envelope: MessageInitShape<typeof EnvelopeSchema>) => void;
	readonly close: () => void;
	readonly frames: () => AsyncGenerator<Frame, void, void>;
};
