/**
Refuses a request that came too late in a planned stop, so that its caller goes to
another process instead of being cut off at the end of the stop.
*/
import type {CallHead} from '../call/call-head.js';
import type {CallLog} from '../forward/call-log.js';
import type {CallerResponse} from '../forward/caller-response.js';
import type {GatewayMetrics} from '../metrics/gateway-metrics.js';

const STATUS_UNAVAILABLE = 503;
/** Other processes can serve the caller at once. */
const RETRY_AFTER_MS = 100;

type RefuseOptions = {
	readonly metrics: Pick<GatewayMetrics, 'countCall'>;
	readonly calls: CallLog;
	/** Of the caller, if it has one. */
	readonly workspace?: string | undefined;
};

export const refuseLate = (call: CallHead, response: CallerResponse, {metrics, calls, workspace}: RefuseOptions): void => {
	response.refuse(STATUS_UNAVAILABLE, RETRY_AFTER_MS);
	metrics.countCall('stopping', STATUS_UNAVAILABLE, 0, workspace);
	calls.write({
		requestId: call.id, programId: call.program?.id, workspace, outcome: 'stopping', status: STATUS_UNAVAILABLE, durationMs: 0,
	}, false);
};
