/**
Delays a call that cannot continue now, or refuses it after its deadline.
*/
import {setTimeout as delay} from 'node:timers/promises';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {CallProgress} from './call-progress.js';

const OWNER_RETRY_DELAY_MS = 100;

/** Resolves with true after the delay before the owner is asked again; with false, after sending the refusal, once the deadline has passed. The grant is kept, so the caller may repeat the request. */
export const waitOrRefuse = async ({events, deadlineAt}: CallProgress, refusal: Refusal): Promise<boolean> => {
	if (Date.now() >= deadlineAt) {
		events.onRefused(refusal);
		return false;
	}

	await delay(OWNER_RETRY_DELAY_MS);
	return true;
};
