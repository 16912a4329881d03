/**
The shard that an owner serves, and the owner's dependencies.
*/
import type {Result} from 'neverthrow';
import type {Random} from '@siskinhub/core/decide/random.js';
import type {PlacementPolicy} from '@siskinhub/core/decide/placement-policy.js';
import type {ProgramHeader} from '@siskinhub/core/history/program-header.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {HistoryHolder} from '@siskinhub/core/owner/history-holder.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {SidecarDirectory} from '../directory/sidecar-directory.js';
import type {HistoryClient} from '../history/history-client.js';
import type {SuspectTracker} from './suspect-tracker.js';
import type {RowLimits} from './row-limits.js';
import type {ShardLog} from './shard-log.js';
import type {SidecarOrders} from './sidecar-orders.js';
import type {TokenReservation} from './token-reservation.js';

export type ShardOwnerOptions = {
	readonly shard: ShardId;
	readonly epoch: Epoch;
	readonly shardLog: ShardLog;
	readonly holders: readonly HistoryHolder[];
	/** Earlier sets of holders, each with its own quorum. */
	readonly sources: ReadonlyArray<readonly HistoryHolder[]>;
	readonly histories: HistoryClient;
	readonly upstreams: SidecarDirectory;
	readonly orders: SidecarOrders;
	readonly crashes: SuspectTracker;
	readonly chooseUpstream: PlacementPolicy;
	readonly random: Random;
	readonly createId: () => string;
	/** Fails with `unknown-row` if a row is missing from the table. */
	readonly limitsOf: (header: Pick<ProgramHeader, 'workspace' | 'kind' | 'deployment'>) => Result<RowLimits, Refusal>;
	/** Fails with `budget-exhausted`, or with `not-run` if no budget could be taken within `timeoutMs`. */
	readonly reserveTokens: (limits: RowLimits, tokens: number, timeoutMs: number) => Promise<Result<TokenReservation, Refusal>>;
	/** Waits for a slot of each row whose concurrency is limited; the returned function releases them. */
	readonly acquireSlots: (limits: RowLimits, deadlineAt: number) => Promise<Result<() => void, Refusal>>;
	/** Returns unspent blocks of budget before a handover. */
	readonly returnBudgets: () => Promise<void>;
	readonly onProgramEnded?: (program: ProgramId) => void;
	readonly log: Logger;
};
