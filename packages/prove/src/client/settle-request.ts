/**
Sends one logical request until its outcome is known.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {Operation} from '../history/operation.js';
import type {ClientCall} from './client-call.js';
import {pick} from './pick.js';
import type {ProgramOptions} from './program-options.js';

const RETRY_DELAY_MS = 150;
const ATTACH_SHARE = 0.5;
const DUPLICATE_SHARE = 0.2;

/** Refusals after which the request is sent again under the same request id. */
const RETRIED_CODES = new Set(['unavailable', 'out-of-order', 'unknown-request', 'limit-reached']);

const isSettled = ({outcome}: Operation): boolean => outcome?.kind === 'final' || (outcome?.kind === 'refused' && !RETRIED_CODES.has(outcome.code));

/** Makes one attempt; sometimes sends a duplicate of the request concurrently through a randomly picked entry. */
const attempt = async ({client, entries, random}: ProgramOptions, call: ClientCall, received: string, shouldAttach: boolean) => {
	const [result] = await Promise.all([
		shouldAttach ? client.attach(pick(random, entries), call, received) : client.call(pick(random, entries), call),
		random() < DUPLICATE_SHARE ? client.call(pick(random, entries), call) : undefined,
	]);
	return result;
};

/** Resolves with the first attempt that was answered or finally refused, or with the last one before `giveUpAt`. */
export const settleRequest = async (options: ProgramOptions, call: ClientCall): Promise<Operation> => {
	const {random, giveUpAt} = options;
	let {operation, text} = await attempt(options, call, '', false);
	while (!isSettled(operation) && Date.now() <= giveUpAt) {
		await sleep(RETRY_DELAY_MS * random());
		const shouldAttach = random() < ATTACH_SHARE;
		({operation, text} = await attempt(options, call, shouldAttach ? text : '', shouldAttach));
	}

	return operation;
};
