/**
Classifies the head of an upstream's response: whether it belongs to the request,
and whether it proves that the request ran or did not run.
*/
import {judgeStatus} from '@siskinhub/core/http/judge-status.js';
import type {ResponseHead} from '../call/response-head.js';

const MIN_FAILURE_STATUS = 300;
const MIN_SERVER_FAILURE_STATUS = 500;
/** Statuses that tell a caller that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** `full`: not run for lack of capacity. `foreign`: the response belongs to another request. `unproven`: the response must not be forwarded, and the request may have run. */
type ResponseClass = 'success' | 'failure' | 'server-failure' | 'not-run' | 'full' | 'foreign' | 'unproven';

/** `requestId` is the id of the request that was sent. */
export const classifyResponseHead = (head: ResponseHead, requestId: string): ResponseClass => {
	if (judgeStatus(head.status) !== 'final') {
		return 'unproven';
	}

	if (head.answeredRequestId !== undefined && head.answeredRequestId !== requestId) {
		return 'foreign';
	}

	if ((head.hasNotRun || head.isOtherUpstream) && head.answeredRequestId === undefined) {
		// Perhaps an earlier refusal, written once more on a kept connection.
		return 'unproven';
	}

	if (head.hasNotRun || head.isOtherUpstream) {
		return head.status === 503 || head.status === 429 ? 'full' : 'not-run';
	}

	if (!head.isSigned || NOT_RUN_STATUSES.has(head.status)) {
		return 'unproven';
	}

	if (head.status < MIN_FAILURE_STATUS) {
		return 'success';
	}

	return head.status >= MIN_SERVER_FAILURE_STATUS ? 'server-failure' : 'failure';
};
