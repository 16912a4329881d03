/**
Sends refusals.
*/
import type {ServerResponse} from 'node:http';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import {REFUSAL_STATUS} from './refusal-status.js';
import {sendJson} from './send-json.js';

const MS_PER_SECOND = 1000;

/** Sends a refusal with its status and, where trying again helps, `Retry-After`. `details` stand beside the refusal's fields. */
export const sendRefusal = (res: ServerResponse, refusal: Refusal, details: Readonly<Record<string, unknown>> = {}): void => {
	const headers: Record<string, string> = refusal.retryAfterMs === undefined
		? {}
		: {'retry-after': String(Math.ceil(refusal.retryAfterMs / MS_PER_SECOND))};
	sendJson(res, REFUSAL_STATUS[refusal.code], {...refusal, ...details}, headers);
};
