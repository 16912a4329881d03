/**
The state of one program that the owner of its shard keeps in memory.
*/
import type {Digest} from '../ids/digest.js';
import type {ProgramId} from '../ids/program-id.js';
import type {RequestId} from '../ids/request-id.js';
import type {TurnNumber} from '../ids/turn-number.js';
import type {UpstreamId} from '../ids/upstream-id.js';
import type {ProgramHeader} from '../history/program-header.js';
import type {ClosedFate} from './closed-fate.js';
import type {OwnedCall} from './owned-call.js';

/** Progress, requests and prefix locations of one program. */
export type OpenProgram = {
	readonly header: ProgramHeader;
	digest: Digest;
	nextTurn: TurnNumber;
	spentTokens: number;
	/** Tokens of the whole history, with which the next prompt begins. */
	historyTokens: number;
	ended: boolean;
	/** The call that holds the next turn, while its claim is being recorded or its grant is open. */
	current?: OwnedCall;
	/** The turn of each stored request, so that a repeated request id is answered from the history. */
	readonly storedTurns: Map<RequestId, TurnNumber>;
	/** Requests that never run again under their id. */
	readonly closed: Map<RequestId, ClosedFate>;
	/** Idempotent requests that may have run before, so that they are never reported as `not-run`. */
	readonly possiblyRun: Set<RequestId>;
	/** The turn that was next when this owner read the program; an earlier owner may have granted it. */
	inheritedTurn?: TurnNumber;
	/** Sub-agents that the program has started. */
	readonly children: Set<ProgramId>;
	/** The upstream that probably holds the program's latest prefix. */
	prefixHolder?: UpstreamId;
	/** All upstreams that have run a call of the program under this owner and may hold a prefix of it. */
	readonly prefixHolders: Set<UpstreamId>;
	/** Wall-clock time at which the program's caller was last heard from, in milliseconds. */
	lastSeenAt: number;
	/** Wall-clock time at which the last turn was stored, in milliseconds; undefined before the first. */
	turnEndedAt?: number;
};
