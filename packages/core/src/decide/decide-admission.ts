/**
Decides whether a call may join the queue of an upstream.

The decision uses the expected wait of the call's own row: the row's waiting work
divided by the row's share of the slots. A row that floods the queue is therefore
refused alone. A call that starts a program counts with the work of the whole
program and a later call only with its own, so starts are refused well before
calls that continue a program; refusing the latter would waste the work that the
program has already used.
*/
import {err, ok} from 'neverthrow';
import type {AdmissionView} from './admission-view.js';
import type {AdmissionPolicy} from './admission-policy.js';

/** Longest expected wait at which a call that starts a program is admitted. */
const START_WAIT_LIMIT_MS = 60_000;
/** Longest expected wait at which a call that continues a program is admitted. */
const CONTINUE_WAIT_LIMIT_MS = 60_000;
const MIN_RETRY_AFTER_MS = 250;
/** Least retry delay as a share of the wait limit. A queue just past the limit drains slowly, so a caller that retried at once would be refused again. */
const MIN_RETRY_LIMIT_SHARE = 1 / 3;
const MAX_RETRY_AFTER_MS = 30_000;

const clampRetryAfter = (waitMs: number): number => Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)));

/** Estimates the wait of the call's row. If calls wait although slots are free, memory is the bottleneck, so only the running calls count as slots. */
const estimateRowWait = (call: AdmissionView): number => {
	const slots = Math.max(1, Math.min(call.slots, call.running));
	const continuing = call.rowQueued - call.rowQueuedStarts + (call.startsProgram ? 0 : 1);
	const starts = call.startsProgram ? call.rowQueuedStarts + 1 : 0;
	const aheadMs = (continuing * call.callMs) + (starts * call.programMs);
	return aheadMs / (slots * Math.max(call.rowShare, Number.EPSILON));
};

/** The admission policy used in production. A refusal has the code `limit-reached` for the row's own limit and `not-run` for overload. */
export const decideAdmission: AdmissionPolicy = call => {
	if (call.rowConcurrency !== undefined && call.rowInFlight >= call.rowConcurrency) {
		return err({code: 'limit-reached', message: 'Wait for a running call of this row to end, or raise its concurrency cell.', retryAfterMs: clampRetryAfter(call.callMs)});
	}

	if (call.running + call.queued < call.slots) {
		return ok(undefined);
	}

	const waitMs = estimateRowWait(call);
	const limitMs = Math.min(call.startsProgram ? START_WAIT_LIMIT_MS : CONTINUE_WAIT_LIMIT_MS, call.deadlineMs);
	if (waitMs <= limitMs) {
		return ok(undefined);
	}

	const retryAfterMs = clampRetryAfter(Math.max(waitMs - limitMs, limitMs * MIN_RETRY_LIMIT_SHARE));
	return err({code: 'not-run', message: 'The upstream is overloaded; send the call again after the given time.', retryAfterMs});
};
