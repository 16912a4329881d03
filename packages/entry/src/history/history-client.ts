/**
Reads and writes copies of histories on their holders.
*/
import type {Result} from 'neverthrow';
import type {ProgramHeader} from '@siskinhub/core/history/program-header.js';
import type {ProgramHistory} from '@siskinhub/core/history/program-history.js';
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {HistoryHolder} from '@siskinhub/core/owner/history-holder.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';

type Place = {
	readonly shard: ShardId;
	readonly epoch: Epoch;
	readonly holders: readonly HistoryHolder[];
	/** W3C trace context of the call that needs it. */
	readonly traceparent?: string;
};

/** Writes resolve with `ok` once a write quorum of holders has the data on disk. */
export type HistoryClient = {
	readonly writeHeader: (place: Place, header: ProgramHeader) => Promise<Result<void, Refusal>>;
	readonly appendTurn: (place: Place, turn: TurnRecord) => Promise<Result<void, Refusal>>;
	readonly markEnded: (place: Place, program: ProgramId) => Promise<Result<void, Refusal>>;
	/** Makes a write quorum hold exactly this history. */
	readonly repair: (place: Place, history: ProgramHistory) => Promise<Result<void, Refusal>>;
	/** Reads from a read quorum and returns the longest valid copy, or undefined if none of them knows the program. */
	readonly readLongest: (holders: readonly HistoryHolder[], program: ProgramId) => Promise<Result<ProgramHistory | undefined, Refusal>>;
	/** Reads from the first holder that has the program up to `digest`. */
	readonly readAt: (holders: readonly HistoryHolder[], program: ProgramId, digest: string) => Promise<Result<ProgramHistory, Refusal>>;
	/** Programs of the shard that any of a read quorum of holders has. */
	readonly listPrograms: (holders: readonly HistoryHolder[], shard: ShardId) => Promise<Result<readonly ProgramId[], Refusal>>;
	/** Makes a read quorum refuse lower epochs; returns the holders that did. */
	readonly fence: (place: Place) => Promise<Result<readonly HistoryHolder[], Refusal>>;
};
