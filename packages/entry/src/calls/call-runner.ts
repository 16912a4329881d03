/**
Carries one call from its caller to an upstream and back.
*/
import type {CallEvents} from './call-events.js';
import type {CallRequest} from './call-request.js';

/** Runs calls to their ends; no method rejects. */
export type CallRunner = {
	readonly run: (call: CallRequest, events: CallEvents, traceparent: string) => Promise<void>;
	/** Follows a call that was posted before, through this entry or another. */
	readonly attach: (call: Pick<CallRequest, 'program' | 'workspace' | 'requestId' | 'deadlineMs'>, events: CallEvents, traceparent: string) => Promise<void>;
	/** Calls under way. */
	readonly open: () => number;
};
