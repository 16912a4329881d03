/**
Takes the requests of one call from the quota of its workspace, one before each send.
*/
import type {ActiveCall} from '../forward/active-call.js';
import type {CallPlan} from '../forward/call-plan.js';
import {waitUnlessStopped} from '../forward/wait-unless-stopped.js';
import type {QuotaDecision} from './quota-decision.js';
import type {QuotaGate} from './quota-gate.js';

type QuotaTakerGate = Pick<QuotaGate, 'acquire' | 'takeSpare' | 'giveBack'>;

/** Everything is granted where the call has no workspace. */
export const createQuotaTaker = (quotas: QuotaTakerGate, {call, workspace}: Pick<CallPlan, 'call' | 'workspace'>, active: ActiveCall) => {
	let over: Extract<QuotaDecision, {kind: 'over'}> | undefined;

	const note = (decided: QuotaDecision | undefined): boolean => {
		over = decided?.kind === 'over' ? decided : undefined;
		return decided?.kind === 'granted';
	};

	return {
		/** Why and until when the last send was refused; `undefined` if it was not. */
		over: () => over,
		/** What cannot be decided at once is waited for. Returns whether the request may be sent. */
		take(): boolean | Promise<boolean> {
			if (!workspace) {
				return true;
			}

			const decision = quotas.acquire(call, workspace);
			if (!(decision instanceof Promise)) {
				return note(decision);
			}

			active.phase = 'waiting-for-permit';
			return (async () => note(await waitUnlessStopped(active, decision)))();
		},
		/** For an extra copy, which waits for nothing. */
		takeSpare: (): boolean => !workspace || quotas.takeSpare(workspace),
		/** For a send that has proved not to have run. */
		giveBack(): void {
			if (workspace) {
				quotas.giveBack(workspace);
			}
		},
	};
};
