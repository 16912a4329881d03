/**
Runs the calls of callers on upstreams and reports their events.
*/
import type {CallEvents} from './call-events.js';
import type {CallRequest} from './call-request.js';

/** Each method resolves when the call has ended, and none rejects. */
export type CallRunner = {
	readonly run: (call: CallRequest, events: CallEvents, traceparent: string) => Promise<void>;
	/** Attaches to a call that was posted earlier, through this entry or another one. */
	readonly attach: (call: Pick<CallRequest, 'program' | 'workspace' | 'requestId' | 'deadlineMs'>, events: CallEvents, traceparent: string) => Promise<void>;
	/** Number of calls that have not ended. */
	readonly open: () => number;
};
