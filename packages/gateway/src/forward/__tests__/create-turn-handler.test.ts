import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {HolderClient} from '@siskinhub/turns/client/holder-client.js';
import {
	describe, expect, it, vi,
} from 'vitest';
import type {CallHead} from '../../call/call-head.js';
import type {Route} from '../../routes/route.js';
import {createAnswerMemory} from '../create-answer-memory.js';
import {createTurnHandler} from '../create-turn-handler.js';

const call: CallHead = {
	id: 'r1' as RequestId, method: 'POST', path: '/', host: 'h', headers: [], program: {id: 'p' as ProgramId}, prompt: {promptTokens: 10, maxTokens: 20, parts: []},
};
const route: Route = {
	name: 'r', host: 'h', prefix: '/', kind: 'stream', targets: [], timeoutMs: 3000, objectiveMs: 200, maxRuns: 1, rank: 0, isResumable: false, keepsTurns: true, retentionMs: 60_000, isSticky: true,
};
/** The tokens of the call and the events that may have none. */
const MOST_EVENTS = 20 + 256;

const start = (changes: {readonly route?: Partial<Route>; readonly prompt?: CallHead['prompt']} = {}) => {
	const memory = createAnswerMemory();
	const settle = vi.fn<HolderClient['settle']>(async () => true);
	const handler = createTurnHandler({
		holderClient: {settle} as unknown as HolderClient,
		memory,
		call: {...call, ...('prompt' in changes && {prompt: changes.prompt!})},
		route: {...route, ...changes.route},
		body: new Uint8Array(1),
		tokensPerEvent: 1,
		origin: undefined,
	});
	/** Records events and counts them as passed on. */
	const record = (count: number, data = 'x') => {
		const excess = handler.recordEvents(Array.from({length: count}, () => ({data, id: undefined, event: undefined})));
		handler.progress.events += excess ? 0 : count;
		return excess;
	};

	return {
		memory, settle, handler, record,
	};
};

// Guards against small events without end, which a caller's count of tokens shows to be no answer.
describe('a stream with more events than its call has tokens', () => {
	it.each([true, false])('is no answer, if turns are kept: %s', keepsTurns => {
		const {record} = start({route: {keepsTurns}});
		expect(record(20)).toBeUndefined();
		expect(record(MOST_EVENTS - 20)).toBeUndefined();
		const excess = record(1);
		expect(excess?.kind).toBe('events');
		expect(excess?.message).toContain(`sent ${MOST_EVENTS + 1} events, of which a call for 20 tokens may have ${MOST_EVENTS}`);
	});

	it('is sound if it goes on after a beginning with as many events', () => {
		const {handler, record} = start();
		handler.addBeginning(Array.from({length: MOST_EVENTS}, () => ({id: '1', data: 'x'})));
		expect(record(MOST_EVENTS)).toBeUndefined();
	});
});

describe('the events of a kept turn', () => {
	it('are stored in order, each on a line, after those of the beginning', async () => {
		const {handler, settle, record} = start();
		handler.addBeginning([{id: '1', data: 'ä'}]);
		record(2, 'b');
		expect(await handler.completeTurn()).toBe(true);
		const [, turn] = settle.mock.calls[0]!;
		expect(new TextDecoder().decode(turn!.output)).toBe('ä\nb\nb\n');
	});

	// Guards against a gateway that ran out of memory: of a turn only the characters counted, while each small event cost ten times as much.
	it('cost little more than their bytes if they are small', () => {
		const {memory, record} = start({prompt: undefined});
		expect(record(100_000)).toBeUndefined();
		expect(memory.heldBytes()).toBeLessThanOrEqual(200_000 + (16 * 1024));
	});

	// Guards against turns that are within their limit each and fill the memory together.
	it('take less when other answers hold much', () => {
		const {memory, record} = start({prompt: undefined});
		expect(record(1, 'x'.repeat(500_000))).toBeUndefined();
		memory.open().hold(15 * 1024 * 1024);
		const excess = record(1, 'x'.repeat(500_000));
		expect(excess?.kind).toBe('turn');
		expect(excess?.message).toMatch(/take \d+ bytes, of which a turn may have 524288 now/v);
	});

	it('hold nothing once the call is over', async () => {
		const {memory, handler, record} = start();
		record(100, 'x'.repeat(1000));
		expect(memory.heldBytes()).toBeGreaterThan(100_000);
		await handler.completeTurn();
		handler.settleInBackground();
		expect(memory.heldBytes()).toBe(0);
	});
});
