/**
Refuses a request whose body was not read whole: the bodies of others leave no room
for it, or it did not come in the request's time.
*/
import type {CallHead} from '../call/call-head.js';
import type {CallLog} from '../forward/call-log.js';
import type {CallerResponse} from '../forward/caller-response.js';
import type {UnreadReason} from '../http/unread-reason.js';
import type {GatewayMetrics} from '../metrics/gateway-metrics.js';

const STATUS_UNAVAILABLE = 503;
/** Another gateway may serve the caller at once. */
const RETRY_AFTER_MS = 100;

type RefuseOptions = {
	readonly reason: UnreadReason;
	/** Milliseconds since the request arrived. */
	readonly durationMs: number;
	readonly metrics: Pick<GatewayMetrics, 'countCall'>;
	readonly calls: CallLog;
	/** Of the caller, if it has one. */
	readonly workspace?: string | undefined;
	/** Bytes that the bodies of all requests take now. */
	readonly heldBytes: number;
};

/** The request has not run. */
export const refuseUnread = (call: CallHead, response: CallerResponse, {reason, durationMs, metrics, calls, workspace, heldBytes}: RefuseOptions): void => {
	response.refuse(STATUS_UNAVAILABLE, RETRY_AFTER_MS);
	metrics.countCall(reason, STATUS_UNAVAILABLE, durationMs, workspace);
	calls.write({
		requestId: call.id, programId: call.program?.id, workspace, finishInMs: call.program?.finishInMs, outcome: reason, status: STATUS_UNAVAILABLE, durationMs, heldBytes,
	}, false);
};
