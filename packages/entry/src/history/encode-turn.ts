/**
Encodes turns for peer messages.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import type {StoredTurnSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** The record is itself a valid message, since the fields have the same names. */
export const encodeTurn = (turn: TurnRecord): MessageInitShape<typeof StoredTurnSchema> => turn;
