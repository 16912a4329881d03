/**
The state of a shard that results from its log.
*/
import type {Epoch} from '../ids/epoch.js';
import type {HostId} from '../ids/host-id.js';
import type {TurnNumber} from '../ids/turn-number.js';
import type {CallClaim} from './call-claim.js';
import type {ClosedFate} from './closed-fate.js';
import type {HistoryHolder} from './history-holder.js';

type ShardOwner = {
	readonly host: HostId;
	readonly instance: string;
	readonly peerAddress: string;
};

type ClosedRequest = {
	readonly requestId: string;
	readonly turn: TurnNumber;
	readonly fate: ClosedFate;
};

type ProgramRequests = {
	readonly claims: readonly CallClaim[];
	readonly closed: readonly ClosedRequest[];
};

/** Owner, history holders, and the requests that are claimed or closed but not stored. */
export type ShardLogState = {
	readonly epoch: Epoch;
	/** Absent before the first takeover and after an orderly handover. */
	readonly owner?: ShardOwner;
	readonly holders: readonly HistoryHolder[];
	/** Earlier sets of holders, each with its own quorum, that may have programs which the current holders still lack. */
	readonly sources: ReadonlyArray<readonly HistoryHolder[]>;
	/** Keyed by program id; only programs with an open claim or a closed request. */
	readonly programs: Readonly<Record<string, ProgramRequests>>;
};
