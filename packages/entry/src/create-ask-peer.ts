/**
Sends requests to peers by address. A message to the entry itself is converted by
the same schema, so that it is handled exactly like one from a peer.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {create} from '@bufbuild/protobuf';
import {err, ok} from 'neverthrow';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {PeerPool} from '@siskinhub/peer/peer-pool.js';
import {EnvelopeSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {AskPeer} from './ask-peer.js';

type AskOptions = {
	readonly ownAddress: string;
	readonly pool: () => PeerPool;
	readonly answer: (body: MessageBody, traceparent?: string) => Promise<MessageBodyInit>;
};

/** Creates the function for the entry at `ownAddress`; `answer` handles the messages to itself. */
export const createAskPeer = ({ownAddress, pool, answer}: AskOptions): AskPeer => {
	const toBody = (body: MessageBodyInit): MessageBody => create(EnvelopeSchema, {body}).body as MessageBody;

	return async (address, body, options) => {
		if (address !== ownAddress) {
			return pool().get(address).request(body, options);
		}

		const reply = await Promise.race([answer(toBody(body), options.traceparent), delay(options.timeoutMs, undefined, {ref: false})]);
		return reply ? ok(toBody(reply)) : err({kind: 'timeout', message: `no reply within ${options.timeoutMs} ms`});
	};
};
