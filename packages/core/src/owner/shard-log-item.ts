/**
What the log of a shard records.
*/
import type {Epoch} from '../ids/epoch.js';
import type {HostId} from '../ids/host-id.js';
import type {ProgramId} from '../ids/program-id.js';
import type {RequestId} from '../ids/request-id.js';
import type {TurnNumber} from '../ids/turn-number.js';
import type {CallClaim} from './call-claim.js';
import type {ClosedFate} from './closed-fate.js';
import type {HistoryHolder} from './history-holder.js';

/** One item; the log's fence makes `take-over` exclude the earlier owner from every later item. */
export type ShardLogItem =
	| {
		readonly kind: 'take-over';
		readonly owner: HostId;
		readonly instance: string;
		readonly peerAddress: string;
		readonly epoch: Epoch;
		readonly holders: readonly HistoryHolder[];
		readonly sources: ReadonlyArray<readonly HistoryHolder[]>;
	}
	// Every program of the sources stands on the holders now.
	| {readonly kind: 'refilled'}
	// The owner leaves in an orderly way; anyone may take over at once.
	| {readonly kind: 'hand-over'}
	| {readonly kind: 'claim'; readonly claim: CallClaim}
	// The request never runs again under this id.
	| {readonly kind: 'close'; readonly program: ProgramId; readonly turn: TurnNumber; readonly requestId: RequestId; readonly fate: ClosedFate}
	// The turn is stored; what the log kept of it and of earlier turns can go.
	| {readonly kind: 'advance'; readonly program: ProgramId; readonly turn: TurnNumber};
