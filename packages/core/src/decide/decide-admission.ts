/**
Decides whether a call may join the queue of an upstream.

Each row is judged by its own expected wait: its waiting work served at its
share of the slots. A start brings a whole program's work, a later call its own. A row that floods fills only its own queue and is refused
alone. Calls that start a program are refused well before calls that continue
one, because what the program has already used would be wasted.
*/
import {err, ok} from 'neverthrow';
import type {AdmissionView} from './admission-view.js';
import type {AdmissionDecision} from './admission-decision.js';

/** Longest expected wait at which a program may still start. */
const START_WAIT_LIMIT_MS = 60_000;
/** Longest expected wait at which a program may go on. */
const CONTINUE_WAIT_LIMIT_MS = 60_000;
const MIN_RETRY_AFTER_MS = 250;
/** A queue that is just past the limit drains slowly, and a caller that comes back at once is refused again. */
const MIN_RETRY_SHARE = 1 / 3;
const MAX_RETRY_AFTER_MS = 30_000;

const boundRetryAfter = (waitMs: number): number => Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)));

/** Where calls wait although slots are free, memory binds, and the slots are worth what runs. */
const estimateRowWait = (call: AdmissionView): number => {
	const slots = Math.max(1, Math.min(call.slots, call.running));
	const continuing = call.rowQueued - call.rowQueuedStarts + (call.startsProgram ? 0 : 1);
	const starts = call.startsProgram ? call.rowQueuedStarts + 1 : 0;
	const aheadMs = (continuing * call.callMs) + (starts * call.programMs);
	return aheadMs / (slots * Math.max(call.rowShare, Number.EPSILON));
};

/** The project's admission. A refusal is `limit-reached` for the row's own limit and `not-run` for load. */
export const decideAdmission: AdmissionDecision = call => {
	if (call.rowConcurrency !== undefined && call.rowOpen >= call.rowConcurrency) {
		return err({code: 'limit-reached', message: 'Wait for a running call of this row to end, or raise its concurrency cell.', retryAfterMs: boundRetryAfter(call.callMs)});
	}

	if (call.running + call.queued < call.slots) {
		return ok(undefined);
	}

	const waitMs = estimateRowWait(call);
	const limitMs = Math.min(call.startsProgram ? START_WAIT_LIMIT_MS : CONTINUE_WAIT_LIMIT_MS, call.deadlineMs);
	if (waitMs <= limitMs) {
		return ok(undefined);
	}

	const retryAfterMs = boundRetryAfter(Math.max(waitMs - limitMs, limitMs * MIN_RETRY_SHARE));
	return err({code: 'not-run', message: 'The upstream is overloaded; send the call again after the given time.', retryAfterMs});
};
