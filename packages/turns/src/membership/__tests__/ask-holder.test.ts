import {create} from '@bufbuild/protobuf';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {EnvelopeSchema, HelloSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {ok} from 'neverthrow';
import {
	describe, expect, it, vi,
} from 'vitest';
import {askHolder} from '../ask-holder.js';

const TIMEOUT_MS = 1000;
const HOLDER = {
	diskId: 'd1', host: 'h1', address: 'a1', dataCentre: 'z1',
};
const BODY = {case: 'findTurn', value: {turn: 't'}} as const;
const ANSWER = create(EnvelopeSchema, {body: {case: 'acknowledged', value: {}}}).body as MessageBody;

/** `remoteDisk` returns the disk of the process at the other end; `undefined` until it has said so. */
const startLink = (remoteDisk: () => string | undefined) => {
	const request = vi.fn<PeerLink['request']>(async () => ok(ANSWER));
	const link: PeerLink = {
		remote: () => remoteDisk() === undefined ? undefined : create(HelloSchema, {dataFolderId: remoteDisk()!}),
		isOpen: () => true,
		silentForMs: () => 0,
		send() {/* The test only asks. */},
		request,
		openCall: () => ({close() {/* Nothing is open. */}}),
		reply() {/* The test only asks. */},
		flush() {/* Nothing waits. */},
		onClosed() {/* The link stays open. */},
		close() {/* Same. */},
	};
	return {link, request};
};

describe('askHolder', () => {
	it('returns the answer of the holder\'s disk', async () => {
		const {link} = startLink(() => 'd1');
		const answer = await askHolder(link, HOLDER, BODY, TIMEOUT_MS);
		expect(answer.isOk()).toBe(true);
	});

	// Guards against SHORT: a wiped disk that had returned got the requests for the one before, 900 a second, none of whose answers counted.
	it('sends nothing to another disk at the holder\'s address', async () => {
		const {link, request} = startLink(() => 'd2');
		const answer = await askHolder(link, HOLDER, BODY, TIMEOUT_MS);
		expect(answer.isErr()).toBe(true);
		expect(request).not.toHaveBeenCalled();
	});

	it('does not count an answer if the other side turns out to use another disk', async () => {
		let disk: string | undefined;
		const {link, request} = startLink(() => disk);
		request.mockImplementation(async () => {
			disk = 'd2';
			return ok(ANSWER);
		});
		const answer = await askHolder(link, HOLDER, BODY, TIMEOUT_MS);
		expect(answer.isErr()).toBe(true);
		expect(request).toHaveBeenCalledOnce();
	});
});
