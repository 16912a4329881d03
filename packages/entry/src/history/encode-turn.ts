/**
Turns as they travel between processes.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import type {StoredTurnSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** Builds the message for a turn; the fields have the same names. */
export const encodeTurn = (turn: TurnRecord): MessageInitShape<typeof StoredTurnSchema> => turn;
