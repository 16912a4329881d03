/**
The owner of one shard during one epoch.
*/
import type {BodyInit} from '@siskinhub/peer/body-init.js';
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
	/** Where the shard's histories are kept. */
	readonly holders: readonly HistoryHolder[];
	readonly startProgram: (message: StartProgram) => Promise<BodyInit>;
	readonly getProgram: (message: GetProgram) => Promise<BodyInit>;
	readonly endProgram: (message: EndProgram) => Promise<BodyInit>;
	readonly grant: (message: GrantRequest) => Promise<BodyInit>;
	/** The grant of a running call, or the place of its recorded answer. */
	readonly attach: (message: AttachCall) => Promise<BodyInit>;
	readonly settle: (message: Settle) => Promise<BodyInit>;
	readonly release: (message: Release) => Promise<BodyInit>;
	readonly cancel: (message: CancelCall) => Promise<BodyInit>;
	/** Writes a caller's copy of a history to the holders, if it is exactly the one that the owner knows by its digest. */
	readonly restore: (message: RestoreHistory) => Promise<BodyInit>;
	/** Those of the programs that are open, or that may be. */
	readonly listAlive: (programs: readonly string[]) => Promise<string[]>;
	/** Programs in memory; those that ended a moment ago count too. */
	readonly openPrograms: () => number;
	/** Ends programs whose time limits have passed. */
	readonly enforceTimeLimits: () => Promise<void>;
	/** True once another owner has taken the shard over. */
	readonly isFenced: () => boolean;
	/** Copies every program of earlier holders to the present ones; false if that must be tried again. */
	readonly refill: () => Promise<boolean>;
	/** Answers `not-owner` from now on. */
	readonly retire: () => void;
	/** Retires, and says so in the log. */
	readonly handOver: () => Promise<void>;
};
