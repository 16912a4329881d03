/**
Decodes turns from peer messages.
*/
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import type {Digest} from '@siskinhub/core/ids/digest.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {TurnNumber} from '@siskinhub/core/ids/turn-number.js';
import type {StoredTurn} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** Does not verify the digest; that happens where the whole chain is verified. */
export const decodeTurn = (turn: StoredTurn): TurnRecord => ({
	program: turn.program as ProgramId,
	turn: turn.turn as TurnNumber,
	requestId: turn.requestId as RequestId,
	previous: turn.previous as Digest,
	digest: turn.digest as Digest,
	input: turn.input,
	output: turn.output,
	promptTokens: turn.promptTokens,
	outputTokens: turn.outputTokens,
	finish: turn.finish,
});
