/**
The state that an entry keeps of a call between two requests to the owner.
*/
import type {Done} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {CallEvents} from './call-events.js';
import type {CallRequest} from './call-request.js';

type FinishedAnswer = {
	readonly text: string;
	readonly done: Done;
	/** Digest of the history that the answer follows. */
	readonly digest: string;
};

export type CallProgress = {
	readonly call: CallRequest;
	readonly events: CallEvents;
	/** Wall-clock time of the caller's deadline, in milliseconds. */
	readonly deadlineAt: number;
	readonly traceparent: string;
	/** Number of grants that ended without an answer. */
	attempts: number;
	/** UTF-8 bytes of the current run's answer that were sent to the caller. */
	sentBytes: number;
	accepted: boolean;
	/** A complete answer that is not stored yet. */
	finished?: FinishedAnswer;
};
