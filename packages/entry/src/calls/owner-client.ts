/**
Requests of an entry to the owner of a call's program.
*/
import type {Result} from 'neverthrow';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {Done, Fate, Grant} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {CallProgress} from './call-progress.js';

type ReleaseRequest = {
	readonly grant: Grant;
	readonly fate: Fate;
	/** True if the entry gives the request up; false if it asks for another grant next. */
	readonly isFinal: boolean;
	readonly done?: Done;
};

/** Each request goes to the current owner of the program's shard. */
export type OwnerClient = {
	readonly askGrant: (progress: CallProgress) => Promise<Result<MessageBody, Refusal>>;
	readonly askAttach: (progress: CallProgress) => Promise<Result<MessageBody, Refusal>>;
	/** False if the owner did not acknowledge, for example because it has changed and the new one does not know the call. */
	readonly settle: (progress: CallProgress, grant: Grant, turn: TurnRecord) => Promise<boolean>;
	/** Returns a refusal if the owner could not confirm the fate. */
	readonly release: (progress: CallProgress, request: ReleaseRequest) => Promise<Refusal | undefined>;
	/** Asks the owner to write the caller's copy of the history to the holders; false if it does not. */
	readonly restoreHistory: (progress: CallProgress, history: readonly TurnRecord[]) => Promise<boolean>;
};
