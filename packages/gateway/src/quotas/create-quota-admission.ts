/**
Refuses requests beyond the quota of their workspace before their bodies are read.
*/
import type {CallHead} from '../call/call-head.js';
import type {CallerResponse} from '../forward/caller-response.js';
import type {CallLog} from '../forward/call-log.js';
import type {GatewayMetrics} from '../metrics/gateway-metrics.js';
import type {RouteTable} from '../routes/route-table.js';
import type {CallerDirectory} from '../workspaces/caller-directory.js';
import {chooseOverStatus} from './choose-over-status.js';
import type {QuotaDecision} from './quota-decision.js';
import type {QuotaGate} from './quota-gate.js';

const OUTCOME = 'over-quota';

type QuotaAdmissionOptions = {
	readonly quotas: Pick<QuotaGate, 'admit'>;
	readonly routes: Pick<RouteTable, 'match'>;
	readonly identify: CallerDirectory['identify'];
	readonly metrics: Pick<GatewayMetrics, 'countCall'>;
	readonly calls: CallLog;
};

export const createQuotaAdmission = ({quotas, routes, identify, metrics, calls}: QuotaAdmissionOptions) => {
	const refused = new WeakMap<CallHead, Extract<QuotaDecision, {kind: 'over'}> & {readonly workspace: string}>();
	return {
		/** Calls of nobody known are admitted: they are refused for another reason. */
		isAdmitted(call: CallHead): boolean {
			const caller = identify(call);
			if (caller.kind !== 'workspace') {
				return true;
			}

			const route = routes.match(call.host, call.path);
			const decision = route ? quotas.admit(call, caller.workspace, route.name) : undefined;
			if (decision?.kind !== 'over') {
				return true;
			}

			refused.set(call, {...decision, workspace: caller.workspace.name});
			return false;
		},
		/** Answers a call that was not admitted here, as not run; returns `false` if it was refused for another reason. */
		refuse(call: CallHead, response: CallerResponse): boolean {
			const over = refused.get(call);
			if (!over) {
				return false;
			}

			const status = chooseOverStatus(over.reason);
			response.refuse(status, over.retryAfterMs);
			metrics.countCall(OUTCOME, status, 0, over.workspace);
			calls.write({
				requestId: call.id, programId: call.program?.id, finishInMs: call.program?.finishInMs, outcome: OUTCOME, status, workspace: over.workspace, reason: over.reason, retryAfterMs: over.retryAfterMs,
			}, false);
			return true;
		},
	};
};
