/**
One program as its shard's owner sees it.
*/
import type {Digest} from '../ids/digest.js';
import type {ProgramId} from '../ids/program-id.js';
import type {RequestId} from '../ids/request-id.js';
import type {TurnNumber} from '../ids/turn-number.js';
import type {UpstreamId} from '../ids/upstream-id.js';
import type {ProgramHeader} from '../history/program-header.js';
import type {ClosedFate} from './closed-fate.js';
import type {OwnedCall} from './owned-call.js';

/** A program's place: all that the owner keeps in memory of it. */
export type OpenProgram = {
	readonly header: ProgramHeader;
	digest: Digest;
	nextTurn: TurnNumber;
	spentTokens: number;
	/** Tokens of the whole history, which the next prompt begins with. */
	historyTokens: number;
	ended: boolean;
	/** The call that holds the next turn, if one was granted. */
	current?: OwnedCall;
	/** Stored requests and their turns, so that a repeated request id is answered from the history. */
	readonly stored: Map<RequestId, TurnNumber>;
	readonly closed: Map<RequestId, ClosedFate>;
	/** Idempotent requests of which an earlier run may have taken place, so that they are never called not-run. */
	readonly doubtful: Set<RequestId>;
	/** The turn that was next when this owner read the program; an earlier owner may have let it run. */
	inheritedTurn?: TurnNumber;
	readonly children: Set<ProgramId>;
	/** The upstream that holds the program's prefix, as far as the owner knows. */
	prefixHolder?: UpstreamId;
	/** Every upstream that ran a call of the program for this owner, and so may hold a prefix. */
	readonly prefixHolders: Set<UpstreamId>;
	/** Wall-clock time of the last sign of the program's caller, in milliseconds. */
	lastSeenAt: number;
	/** Wall-clock time at which the last turn was stored, in milliseconds; undefined before the first. */
	turnEndedAt?: number;
};
