/**
What an entry asks the owner of a call's program.
*/
import type {Result} from 'neverthrow';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import type {Body} from '@siskinhub/peer/body.js';
import type {Done, Fate, Grant} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {CallProgress} from './call-progress.js';

type ReleaseRequest = {
	readonly grant: Grant;
	readonly fate: Fate;
	/** Whether the entry gives the request up, or asks for another grant next. */
	readonly isFinal: boolean;
	readonly done?: Done;
};

/** The questions of a call's life, each to wherever the owner is now. */
export type OwnerClient = {
	readonly askGrant: (progress: CallProgress) => Promise<Result<Body, Refusal>>;
	readonly askAttach: (progress: CallProgress) => Promise<Result<Body, Refusal>>;
	/** False if the owner does not know the call, because it has changed meanwhile. */
	readonly settle: (progress: CallProgress, grant: Grant, turn: TurnRecord) => Promise<boolean>;
	/** Returns the owner's refusal if it cannot vouch for the fate. */
	readonly release: (progress: CallProgress, request: ReleaseRequest) => Promise<Refusal | undefined>;
	/** Has the caller's copy of the history written to the holders; false if the owner refuses it. */
	readonly restoreHistory: (progress: CallProgress, history: readonly TurnRecord[]) => Promise<boolean>;
};
