/**
The sending half of a link.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {EnvelopeSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** Envelopes on their way out; after `close` nothing leaves any more. */
export type OutboundQueue = {
	readonly push: (envelope: MessageInitShape<typeof EnvelopeSchema>) => void;
	readonly close: () => void;
};
