/**
The messages that two processes of the system exchange, as they are sent.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {EnvelopeSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** One message to send: its type's name and the fields that differ from their defaults. */
export type BodyInit = Exclude<NonNullable<MessageInitShape<typeof EnvelopeSchema>['body']>, {case: undefined}>;
