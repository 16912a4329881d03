import {setImmediate as endTurn} from 'node:timers/promises';
import {sizeDelimitedDecodeStream} from '@bufbuild/protobuf/wire';
import {FrameSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {expect, it} from 'vitest';
import {createOutboundQueue} from '../create-outbound-queue.js';

const NO_UINT32 = 80.5;

// Guards against FAULT beside LOST: one number that a message cannot hold ended the process, and cut all that was in flight.
it('leaves out a message that cannot be encoded, reports it, and sends those beside it', async () => {
	const frames: Uint8Array[] = [];
	const reasons: string[] = [];
	const queue = createOutboundQueue({
		write(bytes) {
			frames.push(bytes);
		},
		onUnsendable(reason) {
			reasons.push(reason);
		},
	});
	for (const replyTo of [1, NO_UINT32, 3]) {
		queue.push({replyTo, body: {case: 'heartbeat', value: {}}});
	}

	await endTurn();
	const sent: number[] = [];
	for await (const frame of sizeDelimitedDecodeStream(FrameSchema, (async function * () {
		yield * frames;
	})())) {
		sent.push(...frame.envelopes.map(({replyTo}) => replyTo));
	}

	expect(sent).toEqual([1, 3]);
	expect(reasons).toEqual([expect.stringMatching(/^heartbeat: .*uint32: 80\.5/v)]);
});
