/**
What an entry knows of a call between two questions to its owner.
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

/** One call on its way. */
export type CallProgress = {
	readonly call: CallRequest;
	readonly events: CallEvents;
	/** Wall-clock time of the caller's deadline, in milliseconds. */
	readonly deadlineAt: number;
	readonly traceparent: string;
	/** Grants that led to no answer. */
	attempts: number;
	/** UTF-8 bytes of the present run's answer that the caller was sent. */
	sentBytes: number;
	accepted: boolean;
	/** An answer that is whole but not yet stored. */
	finished?: FinishedAnswer;
};
