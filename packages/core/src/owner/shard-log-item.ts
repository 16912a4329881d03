/**
The items of a shard's log.
*/
import type {Epoch} from '../ids/epoch.js';
import type {HostId} from '../ids/host-id.js';
import type {ProgramId} from '../ids/program-id.js';
import type {RequestId} from '../ids/request-id.js';
import type {TurnNumber} from '../ids/turn-number.js';
import type {CallClaim} from './call-claim.js';
import type {ClosedFate} from './closed-fate.js';
import type {HistoryHolder} from './history-holder.js';

/** One change of a shard's state. */
export type ShardLogItem =
	// A host becomes the owner. The log is fenced, so the previous owner can append nothing after this.
	| {
		readonly kind: 'take-over';
		readonly owner: HostId;
		readonly instance: string;
		readonly peerAddress: string;
		readonly epoch: Epoch;
		readonly holders: readonly HistoryHolder[];
		readonly sources: ReadonlyArray<readonly HistoryHolder[]>;
	}
	// All programs of the earlier holder sets (`sources`) have been copied to the current holders.
	| {readonly kind: 'refilled'}
	// The owner gives the shard up; any host may take over at once.
	| {readonly kind: 'hand-over'}
	// A non-idempotent request may run from now on.
	| {readonly kind: 'claim'; readonly claim: CallClaim}
	// The request never runs again under this request id.
	| {readonly kind: 'close'; readonly program: ProgramId; readonly turn: TurnNumber; readonly requestId: RequestId; readonly fate: ClosedFate}
	// The turn is stored, so claims and closed requests up to it can be dropped.
	| {readonly kind: 'advance'; readonly program: ProgramId; readonly turn: TurnNumber};
