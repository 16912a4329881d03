/**
Sends a request to one holder and checks that the answer comes from its disk. By
now the process at the holder's address may use another disk, whose answers say
nothing about this holder.
*/
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {LinkError} from '@siskinhub/peer/link-error.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {err, type Result} from 'neverthrow';
import type {Holder} from './holder.js';

/** Returns the error `lost` if another disk answered. A `timeoutMs` below 1 counts as 1; `canWait` is that of `CallOptions`. */
export const askHolder = async (link: PeerLink, {diskId}: Holder, body: MessageBodyInit, timeoutMs: number, canWait = false): Promise<Result<MessageBody, LinkError>> => {
	const isOtherDisk = (): boolean => {
		const remote = link.remote();
		return remote !== undefined && remote.dataFolderId !== diskId;
	};

	const otherDisk = err({kind: 'lost', message: 'the process at the holder\'s address uses another disk'} as const);
	// A wiped disk that returns at its old address is short of time while it copies; no answer of it would count.
	if (isOtherDisk()) {
		return otherDisk;
	}

	const answer = await link.request(body, {timeoutMs: Math.max(1, timeoutMs), canWait});
	return answer.isOk() && link.remote()?.dataFolderId !== diskId ? otherDisk : answer;
};
