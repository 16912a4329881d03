/**
Decides on each request when its head has arrived, before its body is read: who sent
it, whether this process and the engines have room for it, and whether the quota of
its workspace has.
*/
import {createAdmission} from '../admission/create-admission.js';
import type {createLoopMonitor} from '../admission/create-loop-monitor.js';
import {readEngineWait} from '../admission/read-engine-wait.js';
import {refuseOverloaded} from '../admission/refuse-overloaded.js';
import type {CallLog} from '../forward/call-log.js';
import type {GatewayServerOptions} from '../http/gateway-server-options.js';
import type {GatewayMetrics} from '../metrics/gateway-metrics.js';
import type {LoadTracker} from '../placement/load-tracker.js';
import {createQuotaAdmission} from '../quotas/create-quota-admission.js';
import type {QuotaGate} from '../quotas/quota-gate.js';
import type {RouteTable} from '../routes/route-table.js';
import type {CallerDirectory} from '../workspaces/caller-directory.js';
import {decideCallerRefusal} from '../workspaces/decide-caller-refusal.js';
import {nameWorkspace} from '../workspaces/name-workspace.js';
import {refuseCaller} from '../workspaces/refuse-caller.js';
import {refuseLate} from './refuse-late.js';

type ArrivalOptions = {
	readonly routes: Pick<RouteTable, 'match' | 'current'>;
	readonly callers: CallerDirectory;
	readonly quotas: Pick<QuotaGate, 'admit'>;
	readonly loop: Pick<ReturnType<typeof createLoopMonitor>, 'read'>;
	/** Milliseconds for which calls have recently waited at the upstreams of the service. */
	readonly meanWaitMs: LoadTracker['meanWaitMs'];
	readonly metrics: GatewayMetrics;
	readonly calls: CallLog;
	/** Of refusals because of the caller, which anybody can cause without end. */
	readonly refusedCallers: CallLog;
};

type ArrivalChecks = Required<Pick<GatewayServerOptions, 'refuseCaller' | 'isAdmitted' | 'onRefused' | 'onLate'>>;

export const createArrivalChecks = ({routes, callers, quotas, loop, meanWaitMs, metrics, calls, refusedCallers}: ArrivalOptions): ArrivalChecks => {
	const quotaAdmission = createQuotaAdmission({
		quotas, routes, identify: callers.identify, metrics, calls,
	});
	const isAdmittedByLoad = createAdmission({
		routes, callers, loop, meanWaitMs,
	});
	return {
		refuseCaller(call, response) {
			// Without routes nobody can be told apart yet; the request waits for them.
			const refusal = routes.current() && decideCallerRefusal(callers.identify(call));
			if (!refusal) {
				return false;
			}

			refuseCaller(call, response, {refusal, metrics, calls: refusedCallers});
			return true;
		},
		isAdmitted: call => isAdmittedByLoad(call) && quotaAdmission.isAdmitted(call),
		onRefused(call, response) {
			if (quotaAdmission.refuse(call, response)) {
				return;
			}

			refuseOverloaded(call, response, {
				metrics, calls, workspace: nameWorkspace(callers, call), loop, waitMs: readEngineWait(call, routes.match(call.host, call.path), meanWaitMs),
			});
		},
		onLate(call, response) {
			refuseLate(call, response, {metrics, calls, workspace: nameWorkspace(callers, call)});
		},
	};
};
