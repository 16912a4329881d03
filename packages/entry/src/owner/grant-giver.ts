/**
Gives grants on behalf of a shard's owner.
*/
import type {ClosedFate} from '@siskinhub/core/owner/closed-fate.js';
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {OwnedCall} from '@siskinhub/core/owner/owned-call.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {TurnNumber} from '@siskinhub/core/ids/turn-number.js';
import type {BodyInit} from '@siskinhub/peer/body-init.js';
import type {GrantRequest} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

type CloseRequest = (program: OpenProgram, requestId: RequestId, turn: TurnNumber, fate: ClosedFate) => Promise<boolean>;

/** The parts of a grant's life that touch limits, budget, upstream and log. */
export type GrantGiver = {
	/** Gives the next turn to a request that may take it; the turn is taken when the call is made. */
	readonly give: (program: OpenProgram, message: GrantRequest, deadlineAt: number, closeRequest: CloseRequest) => Promise<BodyInit>;
	/** Gives the same grant again to a repeated request. */
	readonly repeat: (program: OpenProgram, call: OwnedCall) => BodyInit;
	readonly settle: (program: OpenProgram, call: OwnedCall, tokens: number, slotMs: number) => void;
	readonly release: (program: OpenProgram, call: OwnedCall, mayHaveRun: boolean, usedTokens: number) => void;
};
