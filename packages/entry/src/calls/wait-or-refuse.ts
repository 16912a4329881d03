/**
Decides whether a call that cannot go on now waits or ends.
*/
import {setTimeout as delay} from 'node:timers/promises';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {CallProgress} from './call-progress.js';

const ASK_AGAIN_PAUSE_MS = 100;

/** Pauses before the owner is asked again; false, with a refusal sent, once the deadline has passed. The grant stays, so the same request may come again. */
export const waitOrRefuse = async ({events, deadlineAt}: CallProgress, refusal: Refusal): Promise<boolean> => {
	if (Date.now() >= deadlineAt) {
		events.onRefused(refusal);
		return false;
	}

	await delay(ASK_AGAIN_PAUSE_MS);
	return true;
};
