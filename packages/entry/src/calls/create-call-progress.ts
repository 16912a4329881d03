/**
Creates the initial state of a call.
*/
import type {CallEvents} from './call-events.js';
import type {CallProgress} from './call-progress.js';
import type {CallRequest} from './call-request.js';

/** `call.deadlineMs` counts from now. */
export const createCallProgress = (call: CallRequest, events: CallEvents, traceparent = ''): CallProgress => ({
	call,
	events,
	deadlineAt: Date.now() + call.deadlineMs,
	traceparent,
	attempts: 0,
	sentBytes: 0,
	accepted: false,
});
