import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import {describe, expect, it} from 'vitest';
import type {CallHead} from '../../call/call-head.js';
import type {Upstream} from '../../upstreams/upstream.js';
import {chooseEngine} from '../choose-engine.js';
import {choosePlainUpstream} from '../choose-plain-upstream.js';
import {createLoadBook} from '../create-load-book.js';
import {createPrefixTracker} from '../create-prefix-tracker.js';

const HERE = 'here' as DataCentreId;
const OTHER = 'other' as DataCentreId;

const upstream = (id: string, dataCentre = HERE): Upstream => ({
	id: id as UpstreamId, service: 's', address: '10.0.0.1:1', dataCentre, slots: 6, isLeaving: false, coldMs: 0, sequence: 1, bornAtMs: 1,
});

const turn = (program: string, shared: string, ownTokens: number): CallHead => ({
	id: `${program}-turn` as RequestId, method: 'POST', path: '/', host: 'h', headers: [], program: {id: program as ProgramId}, prompt: {
		promptTokens: 2500 + ownTokens, maxTokens: 30, parts: [{id: shared, tokens: 2500}, {id: `${program}-1`, tokens: ownTokens}],
	},
});

const createBook = () => createLoadBook({dataCentre: HERE, memoryTokens: () => 200_000});
const engines = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(id => upstream(id));
const choose = (book: ReturnType<typeof createBook>, call: CallHead) => chooseEngine(call, engines.map(engine => book.getLoad(engine, call)))!.upstream;

describe('chooseEngine', () => {
	it('keeps a program where its prompt was read, while others come and go', () => {
		const book = createBook();
		const first = turn('p1', 'shared', 800);
		const home = choose(book, first);
		book.beginCall(home, first).end('done');
		for (let other = 0; other < 5; other++) {
			const call = turn(`o${other}`, `shared-${other}`, 500);
			book.beginCall(choose(book, call), call);
		}

		expect(choose(book, turn('p1', 'shared', 1600)).id).toBe(home.id);
	});

	it('lets processes that know nothing of each other send a shared prefix to the same engine', () => {
		const chosen = new Set(Array.from({length: 5}, (_, index) => choose(createBook(), turn(`p${index}`, 'shared', 500)).id));
		expect(chosen.size).toBe(1);
	});

	it('spreads a burst of one prefix over engines instead of queueing on its holder', () => {
		const book = createBook();
		const chosen = new Map<string, number>();
		for (let index = 0; index < 80; index++) {
			const call = turn(`p${index}`, 'shared', 600);
			const {id} = choose(book, call);
			chosen.set(id, (chosen.get(id) ?? 0) + 1);
			book.beginCall(engines.find(engine => engine.id === id)!, call);
		}

		expect(chosen.size).toBe(engines.length);
		expect(Math.max(...chosen.values())).toBeLessThanOrEqual((80 / engines.length) * 2);
	});

	it('turns away from an engine that failed, and comes back', () => {
		const book = createBook();
		const call = turn('p1', 'shared', 800);
		const home = choose(book, call);
		book.beginCall(home, call).end('failed');
		expect(choose(book, call).id).not.toBe(home.id);
	});
});

describe('choosePlainUpstream', () => {
	const call: CallHead = {
		id: 'c' as RequestId, method: 'GET', path: '/', host: 'h', headers: [],
	};

	it('fills the slots evenly under a burst, near ones first', () => {
		const book = createBook();
		const all = [...['n1', 'n2', 'n3', 'n4'].map(id => upstream(id)), ...['f1', 'f2', 'f3', 'f4'].map(id => upstream(id, OTHER))];
		const counts = new Map<string, number>();
		for (let index = 0; index < 32; index++) {
			const {upstream: {id}} = choosePlainUpstream(call, all.map(each => book.getLoad(each, call)), false, () => 0.5)!;
			counts.set(id, (counts.get(id) ?? 0) + 1);
			book.beginCall(all.find(each => each.id === id)!, call);
		}

		expect(Math.max(...counts.values())).toBeLessThanOrEqual(6);
		expect(counts.get('n1')!).toBeGreaterThanOrEqual(counts.get('f1')!);
	});

	it('sends calls about one object to one upstream while it has room', () => {
		const book = createBook();
		const all = ['n1', 'n2', 'n3', 'n4'].map(id => upstream(id));
		const sticky = {...call, affinityKey: '17'};
		const views = () => all.map(each => book.getLoad(each, sticky));
		const first = choosePlainUpstream(sticky, views(), true, Math.random)!.upstream.id;
		expect(choosePlainUpstream(sticky, views(), true, Math.random)!.upstream.id).toBe(first);
	});
});

describe('createPrefixMemory', () => {
	it('counts parts from the start of the prompt only', () => {
		const memory = createPrefixTracker(10_000);
		memory.record([{id: 'a', tokens: 100}, {id: 'b', tokens: 50}]);
		expect(memory.countHeldTokens([{id: 'a', tokens: 100}, {id: 'c', tokens: 10}])).toBe(100);
		expect(memory.countHeldTokens([{id: 'c', tokens: 10}, {id: 'b', tokens: 50}])).toBe(0);
	});

	it('forgets the parts used longest ago once the engine is full', () => {
		const memory = createPrefixTracker(200);
		memory.record([{id: 'a', tokens: 100}]);
		memory.record([{id: 'b', tokens: 100}]);
		memory.record([{id: 'a', tokens: 100}]);
		memory.record([{id: 'c', tokens: 100}]);
		expect(memory.countHeldTokens([{id: 'b', tokens: 100}])).toBe(0);
		expect(memory.countHeldTokens([{id: 'a', tokens: 100}])).toBe(100);
	});
});
