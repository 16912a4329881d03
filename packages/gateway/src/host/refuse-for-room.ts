/**
Refuses a request for whose body this process has no room, since the bodies of others
fill what it may hold of them.
*/
import type {CallHead} from '../call/call-head.js';
import type {CallLog} from '../forward/call-log.js';
import type {CallerResponse} from '../forward/caller-response.js';
import type {GatewayMetrics} from '../metrics/gateway-metrics.js';

const OUTCOME = 'no-room';
const STATUS_UNAVAILABLE = 503;
/** Another gateway may serve the caller at once. */
const RETRY_AFTER_MS = 100;

type RefuseOptions = {
	readonly metrics: Pick<GatewayMetrics, 'countCall'>;
	readonly calls: CallLog;
	/** Bytes that the bodies of all requests take now. */
	readonly heldBytes: number;
};

/** The request has not run. */
export const refuseForRoom = (call: CallHead, response: CallerResponse, {metrics, calls, heldBytes}: RefuseOptions): void => {
	response.refuse(STATUS_UNAVAILABLE, RETRY_AFTER_MS);
	metrics.countCall(OUTCOME, STATUS_UNAVAILABLE, 0);
	calls.write({
		requestId: call.id, programId: call.program?.id, finishInMs: call.program?.finishInMs, outcome: OUTCOME, status: STATUS_UNAVAILABLE, heldBytes,
	}, false);
};
