/**
The owner of one shard during one epoch.
*/
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {
	AttachCall, CancelCall, EndProgram, GetProgram, GrantRequest, Release, RestoreHistory, Settle, StartProgram,
} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {HistoryHolder} from '@siskinhub/core/owner/history-holder.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';

/** Answers each message with the reply to send; no method rejects. */
export type ShardOwner = {
	readonly shard: ShardId;
	readonly epoch: Epoch;
	/** The entry hosts that keep the shard's histories. */
	readonly holders: readonly HistoryHolder[];
	readonly startProgram: (message: StartProgram) => Promise<MessageBodyInit>;
	readonly getProgram: (message: GetProgram) => Promise<MessageBodyInit>;
	readonly endProgram: (message: EndProgram) => Promise<MessageBodyInit>;
	readonly grant: (message: GrantRequest) => Promise<MessageBodyInit>;
	/** Returns the grant of a running call, or the turn and holders of its recorded answer. */
	readonly attach: (message: AttachCall) => Promise<MessageBodyInit>;
	readonly settle: (message: Settle) => Promise<MessageBodyInit>;
	readonly release: (message: Release) => Promise<MessageBodyInit>;
	readonly cancel: (message: CancelCall) => Promise<MessageBodyInit>;
	/** Writes a caller's copy of a history to the holders, if it is exactly the one that the owner knows by its digest. */
	readonly restore: (message: RestoreHistory) => Promise<MessageBodyInit>;
	/** Returns those of the programs that are open or might be. */
	readonly listAlive: (programs: readonly string[]) => Promise<string[]>;
	/** Number of programs in memory, including those that ended recently. */
	readonly openPrograms: () => number;
	/** Ends programs whose time limits have passed. */
	readonly enforceTimeLimits: () => Promise<void>;
	/** True once another owner has taken the shard over. */
	readonly isFenced: () => boolean;
	/** Copies every program of earlier holders to the current ones; false if that must be retried. */
	readonly copyHistories: () => Promise<boolean>;
	/** Replies `not-owner` from now on. */
	readonly deactivate: () => void;
	/** Deactivates, returns unspent budget and records the handover in the log. */
	readonly handOver: () => Promise<void>;
};
