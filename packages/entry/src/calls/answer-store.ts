/**
Moves answers between a call and its program's history.
*/
import type {Result} from 'neverthrow';
import type {ProgramHistory} from '@siskinhub/core/history/program-history.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {Grant, Recorded} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {CallProgress} from './call-progress.js';

/** What a call reads of the history and adds to it. */
export type AnswerStore = {
	/** The history before the call; where every copy is lost, the one that the caller sent takes its place. */
	readonly readHistory: (progress: CallProgress, grant: Grant) => Promise<Result<ProgramHistory, Refusal>>;
	/** Stores the finished answer, settles and sends the final event; false if the owner changed meanwhile and must be asked again. */
	readonly storeAnswer: (progress: CallProgress, grant: Grant) => Promise<boolean>;
	/** Sends the answer that an earlier copy of the request has stored. */
	readonly sendRecorded: (progress: CallProgress, recorded: Recorded) => Promise<void>;
};
