/**
Type of the messages between two processes of the system, as sent.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {EnvelopeSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** One message to send: the name of its type in `case`, and in `value` the fields that differ from their defaults. */
export type MessageBodyInit = Exclude<NonNullable<MessageInitShape<typeof EnvelopeSchema>['body']>, {case: undefined}>;
