import {create} from '@bufbuild/protobuf';
import {err, ok} from 'neverthrow';
import {expect, test} from 'vitest';
import type {HostId} from '@siskinhub/core/ids/host-id.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import {EnvelopeSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {AskPeer} from '../../ask-peer.js';
import {createHistoryClient} from '../create-history-client.js';

const PROGRAM = 'p1-a' as ProgramId;
const SLOW_REPLY_MS = 20;

const holders = ['a', 'b', 'c'].map(host => ({host: host as HostId, peerAddress: host, dataFolderId: host}));

const emptyHistory = create(EnvelopeSchema, {body: {case: 'history', value: {}}}).body as MessageBody;

const delayReply = async () => new Promise<void>(resolve => {
	setTimeout(resolve, SLOW_REPLY_MS);
});

/** Requests to holders in `down` fail at once; the others reply a little later. */
const createAsk = (down: ReadonlySet<string>): AskPeer => async address => {
	if (down.has(address)) {
		return err({kind: 'lost', message: 'connection refused'});
	}

	await delayReply();
	return ok(emptyHistory);
};

test('one dead holder of three, which fails first, does not stop a read', async () => {
	const read = await createHistoryClient(createAsk(new Set(['a'])), 'd').readLatest(holders, PROGRAM);
	expect(read.isOk()).toBe(true);
});

test('two dead holders of three stop a read: the third may lack a stored turn', async () => {
	const read = await createHistoryClient(createAsk(new Set(['a', 'b'])), 'd').readLatest(holders, PROGRAM);
	expect(read._unsafeUnwrapErr().code).toBe('unavailable');
});
