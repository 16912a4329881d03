/**
Refuses a request because this gateway or the engines have too much to do.
*/
import type {CallHead} from '../call/call-head.js';
import type {CallLog} from '../forward/call-log.js';
import type {CallerResponse} from '../forward/caller-response.js';
import type {GatewayMetrics} from '../metrics/gateway-metrics.js';
import type {createLoopMonitor} from './create-loop-monitor.js';

/** Another gateway may serve the caller at once. */
const RETRY_OTHER_PROCESS_MS = 100;
const STATUS = 503;
const OUTCOME = 'overloaded';

type RefusalOptions = {
	readonly metrics: Pick<GatewayMetrics, 'countCall'>;
	readonly calls: CallLog;
	/** Of the caller, if it has one. */
	readonly workspace?: string | undefined;
	readonly loop: Pick<ReturnType<typeof createLoopMonitor>, 'read'>;
	/** How long calls have recently waited at the engines, in milliseconds: no gateway can serve the caller before. */
	readonly waitMs: number;
};

/** The request has not run. */
export const refuseOverloaded = (call: CallHead, response: CallerResponse, {metrics, calls, workspace, loop, waitMs}: RefusalOptions): void => {
	const {queueMs, utilization} = loop.read();
	response.refuse(STATUS, Math.max(RETRY_OTHER_PROCESS_MS, Math.round(waitMs)));
	metrics.countCall(OUTCOME, STATUS, 0, workspace);
	calls.write({
		requestId: call.id, programId: call.program?.id, workspace, finishInMs: call.program?.finishInMs, outcome: OUTCOME, status: STATUS, queueMs: Math.round(queueMs), utilization: Number(utilization.toFixed(2)), waitMs: Math.round(waitMs),
	}, false);
};
