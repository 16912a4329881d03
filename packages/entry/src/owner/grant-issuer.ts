/**
The part of a grant's lifecycle that involves limits, budget, the choice of
upstream and the shard's log.
*/
import type {ClosedFate} from '@siskinhub/core/owner/closed-fate.js';
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {OwnedCall} from '@siskinhub/core/owner/owned-call.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {TurnNumber} from '@siskinhub/core/ids/turn-number.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {GrantRequest} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

type CloseRequest = (program: OpenProgram, requestId: RequestId, turn: TurnNumber, fate: ClosedFate) => Promise<boolean>;

export type GrantIssuer = {
	/** Grants the next turn to a request that may take it; the turn is marked as taken before the first `await`. */
	readonly issue: (program: OpenProgram, message: GrantRequest, deadlineAt: number, closeRequest: CloseRequest) => Promise<MessageBodyInit>;
	/** Returns the existing grant for a repeated request. */
	readonly repeat: (program: OpenProgram, call: OwnedCall) => MessageBodyInit;
	/** Charges `tokens`, frees the call's slots and adds `slotMs` to the time attained by the program's root. */
	readonly settle: (program: OpenProgram, call: OwnedCall, tokens: number, slotMs: number) => void;
	/** Frees the call's slots; charges its tokens only if it may have run. */
	readonly release: (program: OpenProgram, call: OwnedCall, mayHaveRun: boolean, usedTokens: number) => void;
};
