import {create} from '@bufbuild/protobuf';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import {EnvelopeSchema, KeptTurnSchema, type KeptTurn} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {
	describe, expect, it, vi,
} from 'vitest';
import type {AskQuorum} from '../ask-quorum.js';
import {createChainReader} from '../create-chain-reader.js';

const TIMEOUT_MS = 1000;
const HOLDER = {
	diskId: 'd1', host: 'h1', address: 'a1', dataCentre: 'z1',
};
const LIST = {version: 1, current: [HOLDER], next: undefined};

const turn = (id: string, previous: string) => create(KeptTurnSchema, {id, previous});

/** A chain of four turns, newest first. */
const CHAIN = [turn('t3', 't2'), turn('t2', 't1'), turn('t1', 't0'), turn('t0', '')];

/** `known` is what was read along with the reservation of the attempt `a`; the only holder has the whole chain. */
const startReader = (known: readonly KeptTurn[]) => {
	const asked: string[] = [];
	const askQuorum: AskQuorum = async (_place, buildRequest, _kind, _timeoutMs, createAnswerHandler) => {
		const request = buildRequest(LIST.version, HOLDER);
		const id = request.case === 'readTurns' ? request.value.turn! : '';
		asked.push(id);
		const answer: MessageBodyInit = {case: 'turns', value: {turns: CHAIN.slice(CHAIN.findIndex(each => each.id === id))}};
		const {body} = create(EnvelopeSchema, {body: answer});
		return createAnswerHandler(LIST)(HOLDER, body as Parameters<ReturnType<typeof createAnswerHandler>>[1]) === 'enough';
	};

	const readTurns = createChainReader({
		askQuorum, losses: 0, findTurn: vi.fn(), takeChain: attempt => attempt === 'a' ? known : [],
	});
	return {readTurns, asked};
};

describe('createChainReader', () => {
	it.each([
		['all of the chain', 4, []],
		['the end of the chain', 2, ['t1']],
		['nothing', 0, ['t3']],
	])('asks only for what is missing if the reservation brought %s', async (_name, knownCount, expected) => {
		const {readTurns, asked} = startReader(CHAIN.slice(0, knownCount));
		expect(await readTurns('p', 't3', TIMEOUT_MS, 'a')).toMatchObject({kind: 'found', turns: [{id: 't0'}, {id: 't1'}, {id: 't2'}, {id: 't3'}]});
		expect(asked).toEqual(expected);
	});

	it('does not use what another attempt read', async () => {
		const {readTurns, asked} = startReader(CHAIN);
		expect(await readTurns('p', 't3', TIMEOUT_MS, 'b')).toMatchObject({kind: 'found'});
		expect(asked).toEqual(['t3']);
	});
});
