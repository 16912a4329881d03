/**
Interface of the store for copies of program histories on one host. Every write
carries the epoch of the shard's owner and is refused if the shard has seen a higher
one.
*/
import type {ProgramHeader} from '@siskinhub/core/history/program-header.js';
import type {ProgramHistory} from '@siskinhub/core/history/program-history.js';
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {Result} from 'neverthrow';
import type {HistoryError} from './history-error.js';
import type {ProgramSummary} from './program-summary.js';

/** A write is on the disk when its promise resolves with `ok`. */
export type HistoryStore = {
	/** Idempotent for an equal header. */
	readonly startProgram: (header: ProgramHeader, epoch: Epoch) => Promise<Result<void, HistoryError>>;
	/** Idempotent for a turn that the copy already holds. */
	readonly appendTurn: (turn: TurnRecord, epoch: Epoch) => Promise<Result<void, HistoryError>>;
	readonly endProgram: (program: ProgramId, epoch: Epoch) => Promise<Result<void, HistoryError>>;
	/** Replaces the copy by a whole valid history, in one log entry. The program is open afterwards. */
	readonly repairProgram: (header: ProgramHeader, turns: readonly TurnRecord[], epoch: Epoch) => Promise<Result<void, HistoryError>>;
	/** Makes the store refuse later writes of the shard with a lower epoch, also after a restart. */
	readonly fenceShard: (shard: ShardId, epoch: Epoch) => Promise<Result<void, HistoryError>>;
	readonly readHistory: (program: ProgramId) => Promise<Result<ProgramHistory, HistoryError>>;
	readonly listPrograms: (shard: ShardId) => readonly ProgramSummary[];
	/** Forgets programs that ended at least `retentionMs` ago and removes the oldest files while they hold no live entry or most of the log is obsolete. */
	readonly compact: (retentionMs: number) => Promise<Result<void, HistoryError>>;
	readonly close: () => Promise<void>;
};
