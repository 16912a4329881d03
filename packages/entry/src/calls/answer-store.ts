/**
Reads the history that a call builds on and adds the call's answer to it.
*/
import type {Result} from 'neverthrow';
import type {ProgramHistory} from '@siskinhub/core/history/program-history.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {Grant, Recorded} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {CallProgress} from './call-progress.js';

export type AnswerStore = {
	/** Reads the history before the call. If it cannot be read, the copy that the caller sent, if any, is restored first. */
	readonly readHistory: (progress: CallProgress, grant: Grant) => Promise<Result<ProgramHistory, Refusal>>;
	/** Stores the finished answer, settles the grant and sends the final event; false if a step failed and the owner must be asked again. */
	readonly storeAnswer: (progress: CallProgress, grant: Grant) => Promise<boolean>;
	/** Sends the stored answer to a repeated request. */
	readonly sendRecorded: (progress: CallProgress, recorded: Recorded) => Promise<void>;
};
