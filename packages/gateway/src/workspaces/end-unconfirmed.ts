/**
Ends a request that may not be sent for its caller any more, since the declared state
has changed while it waited.
*/
import type {CallerResponse} from '../forward/caller-response.js';
import type {createCallerCheck} from './create-caller-check.js';
import {decideCallerRefusal} from './decide-caller-refusal.js';

const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
/** The next attempt of the caller is identified by what is declared then. */
const RETRY_CHANGED_MS = 100;
const OUTCOME = 'caller-unconfirmed';

type Standing = Exclude<ReturnType<ReturnType<typeof createCallerCheck>>, 'same'>;

/** `hasRun`: an upstream may have run the request, so nothing may be promised. Returns what to report. */
export const endUnconfirmed = (response: Pick<CallerResponse, 'isStarted' | 'abort' | 'refuse'>, standing: Standing, hasRun: boolean): {readonly outcome: string; readonly status: number} => {
	if (response.isStarted()) {
		response.abort();
		return {outcome: OUTCOME, status: 0};
	}

	if (hasRun) {
		response.refuse(STATUS_BAD_GATEWAY);
		return {outcome: OUTCOME, status: STATUS_BAD_GATEWAY};
	}

	const {status, retryAfterMs} = (standing === 'changed' ? undefined : decideCallerRefusal({kind: standing})) ?? {status: STATUS_UNAVAILABLE, retryAfterMs: RETRY_CHANGED_MS};
	response.refuse(status, retryAfterMs);
	return {outcome: OUTCOME, status};
};
