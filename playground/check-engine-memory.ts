/**
Checks that the engines hold no prefixes of programs that have ended.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {Deployment} from '@siskinhub/standins/cluster/deployment.js';
import {sendJsonRequest} from '@siskinhub/prove/cluster/send-json-request.js';
import type {CheckResult} from './check-result.js';

const POLL_INTERVAL_MS = 100;
const POLLS = 50;

type UpstreamNode = Deployment['upstreams'][number];

const countHeldPrefixes = async (upstreams: readonly UpstreamNode[]): Promise<number> => {
	const engines = upstreams.filter(({kind}) => kind === 'model');
	const caches = await Promise.all(engines.map(async ({address}) => sendJsonRequest('GET', `${address}/cache`)));
	return caches.reduce((sum, {body}) => sum + (body as {readonly groups: readonly unknown[]}).groups.length, 0);
};

/** Polls for up to about 5 s, since prefixes are released after the program has ended. */
export const checkEngineMemory = async ({upstreams}: Deployment): Promise<CheckResult> => {
	let held = await countHeldPrefixes(upstreams);
	for (let poll = 0; held > 0 && poll < POLLS; poll++) {
		await sleep(POLL_INTERVAL_MS);
		held = await countHeldPrefixes(upstreams);
	}

	return {name: 'no engine holds memory of the ended programs', isMet: held === 0, detail: `${held} prefixes held`};
};
