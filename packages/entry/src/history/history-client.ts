/**
The interface through which entries read and write copies of program histories
on their holders.
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

type ShardReplicas = {
	readonly shard: ShardId;
	readonly epoch: Epoch;
	readonly holders: readonly HistoryHolder[];
	/** W3C trace context of the call that causes the write. */
	readonly traceparent?: string;
};

/** Writes succeed once a write quorum of holders has the data on disk. */
export type HistoryClient = {
	readonly writeHeader: (place: ShardReplicas, header: ProgramHeader) => Promise<Result<void, Refusal>>;
	readonly appendTurn: (place: ShardReplicas, turn: TurnRecord) => Promise<Result<void, Refusal>>;
	readonly markEnded: (place: ShardReplicas, program: ProgramId) => Promise<Result<void, Refusal>>;
	/** Replaces the program's copies with exactly this history, on at least a write quorum. */
	readonly repair: (place: ShardReplicas, history: ProgramHistory) => Promise<Result<void, Refusal>>;
	/** Reads from a read quorum and returns the latest valid copy, or undefined if there is none; `ended` is set if any copy has it. */
	readonly readLatest: (holders: readonly HistoryHolder[], program: ProgramId) => Promise<Result<ProgramHistory | undefined, Refusal>>;
	/** Returns the history up to `digest` from the first holder that has it. */
	readonly readUpToDigest: (holders: readonly HistoryHolder[], program: ProgramId, digest: string) => Promise<Result<ProgramHistory, Refusal>>;
	/** Lists the programs of the shard that any of the replying holders has; fails unless a read quorum replies. */
	readonly listPrograms: (holders: readonly HistoryHolder[], shard: ShardId) => Promise<Result<readonly ProgramId[], Refusal>>;
	/** Makes at least a read quorum reject lower epochs; returns the holders that acknowledged. */
	readonly fence: (place: ShardReplicas) => Promise<Result<readonly HistoryHolder[], Refusal>>;
};
