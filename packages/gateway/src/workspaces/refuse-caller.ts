/**
Refuses a request because of its caller, before its body is read.
*/
import type {CallHead} from '../call/call-head.js';
import type {CallLog} from '../forward/call-log.js';
import type {CallerResponse} from '../forward/caller-response.js';
import type {GatewayMetrics} from '../metrics/gateway-metrics.js';
import type {decideCallerRefusal} from './decide-caller-refusal.js';

type RefuseOptions = {
	readonly refusal: NonNullable<ReturnType<typeof decideCallerRefusal>>;
	readonly metrics: Pick<GatewayMetrics, 'countCall'>;
	/** Of such refusals alone: anybody can send them without end, and would else keep the lines of others out. */
	readonly calls: CallLog;
};

/** The request has not run. */
export const refuseCaller = (call: CallHead, response: CallerResponse, {refusal: {status, outcome, retryAfterMs}, metrics, calls}: RefuseOptions): void => {
	response.refuse(status, retryAfterMs);
	metrics.countCall(outcome, status, 0);
	calls.write({
		requestId: call.id, programId: call.program?.id, outcome, status, durationMs: 0,
	}, true);
};
