/**
Type of the messages between two processes of the system, as received.
*/
import type {Envelope} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** One received message; `case` names its type. */
export type MessageBody = Exclude<Envelope['body'], {case: undefined}>;
