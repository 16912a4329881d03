/**
Asks one holder. A process at the holder's address may have another disk by now,
whose answers say nothing about the holder's.
*/
import type {Body} from '@siskinhub/peer/body.js';
import type {BodyInit} from '@siskinhub/peer/body-init.js';
import type {LinkError} from '@siskinhub/peer/link-error.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {err, type Result} from 'neverthrow';
import type {Holder} from './holder.js';

/** The answer of this very disk, or how it failed. */
export const askHolder = async (link: PeerLink, {diskId}: Holder, body: BodyInit, timeoutMs: number): Promise<Result<Body, LinkError>> => {
	const answer = await link.request(body, {timeoutMs: Math.max(1, timeoutMs)});
	return answer.isOk() && link.remote()?.dataFolderId !== diskId
		? err({kind: 'lost', message: 'another disk is at the holder\'s address'})
		: answer;
};
