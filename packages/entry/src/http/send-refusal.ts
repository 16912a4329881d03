/**
Sends refusals as JSON responses.
*/
import type {ServerResponse} from 'node:http';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import {REFUSAL_STATUS} from './refusal-status.js';
import {sendJson} from './send-json.js';

const MS_PER_SECOND = 1000;

/** Adds the header `Retry-After` if the refusal has a retry delay. The body holds the refusal's fields and those of `details`. */
export const sendRefusal = (res: ServerResponse, refusal: Refusal, details: Readonly<Record<string, unknown>> = {}): void => {
	const headers: Record<string, string> = refusal.retryAfterMs === undefined
		? {}
		: {'retry-after': String(Math.ceil(refusal.retryAfterMs / MS_PER_SECOND))};
	sendJson(res, REFUSAL_STATUS[refusal.code], {...refusal, ...details}, headers);
};
