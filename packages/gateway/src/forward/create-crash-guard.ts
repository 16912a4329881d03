/**
Keeps a request that crashes upstreams from others, and notes what each of its
attempts tells of that.
*/
import {computeFingerprint} from '../crashes/compute-fingerprint.js';
import type {Crash} from '../crashes/crash.js';
import type {Upstream} from '../upstreams/upstream.js';
import {identifyStart} from '../upstreams/identify-start.js';
import type {AttemptResult} from './attempt-result.js';
import type {CallPlan} from './call-plan.js';
import type {GatewayContext} from './gateway-context.js';
import {judgeAttemptEnd} from './judge-attempt-end.js';

const MIN_FAILURE_STATUS = 300;

type GuardContext = Pick<GatewayContext, 'crashes' | 'crashWatch' | 'crashLog' | 'metrics'>;

/** For one request; its fingerprint is computed only once something has crashed. */
export const createCrashGuard = ({crashes, crashWatch, crashLog, metrics}: GuardContext, {call, body, workspace}: Pick<CallPlan, 'call' | 'body' | 'workspace'>) => {
	let fingerprint: string | undefined;
	const getFingerprint = (): string => {
		fingerprint ??= computeFingerprint(call, body, workspace?.name);
		return fingerprint;
	};

	return {
		/** The crashes because of which the request is sent to no upstream any more. */
		findBlock: (): readonly Crash[] | undefined => crashes.isEmpty() ? undefined : crashes.findBlock(getFingerprint()),
		/** Whether an upstream may have crashed because of the request. */
		isNoted: (): boolean => !crashes.isEmpty() && crashes.isNoted(getFingerprint()),
		/** Notes what the end of an attempt tells of its upstream. */
		noteEnd(upstream: Upstream, result: AttemptResult): void {
			const end = judgeAttemptEnd(result);
			if (end === 'lost') {
				crashWatch.recordLost(getFingerprint(), identifyStart(upstream));
			} else if (end === 'unanswered') {
				crashWatch.recordUnanswered(getFingerprint(), identifyStart(upstream));
			} else if (result.kind === 'done' && result.status < MIN_FAILURE_STATUS && !crashes.isEmpty()) {
				crashes.recordAnswered(getFingerprint());
			}
		},
		refuse(block: readonly Crash[]): AttemptResult {
			crashLog.recordBlock(call.id, block);
			metrics.countBlocked();
			return {kind: 'not-run', isFull: true, message: 'too many upstreams ended while they ran the request'};
		},
	};
};
