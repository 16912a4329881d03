/**
Keeps the requests in flight, so that the end of a planned stop can take them back and
name those that the end of the process cuts: a request is logged when it ends, and these
never do.
*/
import type {ActiveCall} from './active-call.js';
import type {CallPhase} from './call-phase.js';

type CallState = Pick<ActiveCall, 'call' | 'wasPassedOn'> & {
	/** Milliseconds since this process began to handle the request. */
	readonly ageMs: number;
	readonly phase: CallPhase;
};

const describeCall = ({call, response, beganAt, phase, wasPassedOn}: ActiveCall, now: number): CallState => ({
	call, wasPassedOn, ageMs: Math.round(now - beganAt), phase: response.isStarted() ? 'answering' : phase,
});

export const createActiveCalls = () => {
	// In the order of their arrival.
	const active = new Set<ActiveCall>();
	let isStopped = false;
	return {
		begin(call: ActiveCall['call'], response: ActiveCall['response'], arrivedAt: number): ActiveCall {
			const begun: ActiveCall = {
				call, response, arrivedAt, beganAt: performance.now(), phase: 'reading-body', wasPassedOn: false, isStopped, onStop: undefined,
			};
			active.add(begun);
			return begun;
		},
		/** Must be called once the response is over or the caller has gone. */
		end(ended: ActiveCall): void {
			active.delete(ended);
		},
		/** Takes all requests back, also those that are yet to come: what has not been sent to an upstream never is, and what has no answer yet gets a final one at once. */
		stop(): void {
			isStopped = true;
			for (const each of active) {
				each.isStopped = true;
				each.onStop?.();
			}
		},
		/** Oldest first. */
		list(): readonly CallState[] {
			const now = performance.now();
			return [...active].map(each => describeCall(each, now));
		},
	};
};
