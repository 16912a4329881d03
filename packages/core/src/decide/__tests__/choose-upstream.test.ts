import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import type {ProgramId} from '../../ids/program-id.js';
import type {UpstreamId} from '../../ids/upstream-id.js';
import type {UnplacedCall} from '../unplaced-call.js';
import {chooseLeastOutstanding} from '../choose-least-outstanding.js';
import {chooseUpstream} from '../choose-upstream.js';
import {createRandom} from '../create-random.js';
import {createRoundRobin} from '../create-round-robin.js';
import {createStickyPlacement} from '../create-sticky-placement.js';
import type {PlacementPolicy} from '../placement-policy.js';
import type {UpstreamView} from '../upstream-view.js';

const call: UnplacedCall = {
	program: 'p0-a' as ProgramId, startsProgram: false, promptTokens: 8000, expectedOutputTokens: 100,
};

const idle: UpstreamView = {
	id: 'a' as UpstreamId,
	state: 'live',
	slots: 8,
	running: 0,
	queued: 0,
	queuedStarts: 0,
	memoryTokens: 1_000_000,
	usedTokens: 0,
	reportedAt: 0,
	sentSinceReport: 0,
	outstanding: 0,
	callMs: 5000,
	tokenMs: 25,
	prefillTokensPerMs: 8,
	importTokensPerMs: 0,
	heldTokens: 0,
};

const upstreams = fc.array(fc.record({
	state: fc.constantFrom('live', 'suspect', 'leaving', 'silent'),
	running: fc.nat(8),
	queued: fc.nat(50),
	reportedAt: fc.nat(10_000),
	sentSinceReport: fc.nat(20),
	outstanding: fc.nat(80),
	heldTokens: fc.nat(8000),
	importTokensPerMs: fc.constantFrom(0, 12),
}), {maxLength: 12}).map(views => views.map((view, index): UpstreamView => ({...idle, ...view, id: `u${index}` as UpstreamId})));

const policies: Array<[string, () => PlacementPolicy]> = [
	['production', () => chooseUpstream],
	['round robin', createRoundRobin],
	['least outstanding', () => chooseLeastOutstanding],
	['sticky', createStickyPlacement],
];

for (const [name, create] of policies) {
	test.prop([upstreams, fc.integer()])(`${name}: chooses a live upstream if there is one, else a suspect one, never a leaving or silent one`, (views, seed) => {
		const placement = create()(call, views, 10_000, createRandom(seed));
		const chosen = views.find(view => view.id === placement?.upstream);
		const expected = ['live', 'suspect'].find(state => views.some(view => view.state === state));
		expect(chosen?.state).toBe(expected);
	});
}

test.prop([upstreams, fc.integer()])('the same seed gives the same choice', (views, seed) => {
	expect(chooseUpstream(call, views, 0, createRandom(seed))).toEqual(chooseUpstream(call, views, 0, createRandom(seed)));
});

const choose = (views: Array<Partial<UpstreamView>>, now = 0) =>
	chooseUpstream(call, views.map((view, index) => ({...idle, id: `u${index}` as UpstreamId, ...view})), now, createRandom(1));

test('chooses the holder of the prefix when the queues are equal', () => {
	expect(choose([{}, {heldTokens: 7900}, {}])).toEqual({upstream: 'u1'});
});

test('avoids the holder when its queue costs more than computing the prefix', () => {
	expect(choose([{}, {heldTokens: 7900, running: 8, queued: 20}])).toEqual({upstream: 'u0'});
});

test('imports the prefix if that is faster than computing it', () => {
	expect(choose([{importTokensPerMs: 40}, {heldTokens: 7900, state: 'leaving'}])).toEqual({upstream: 'u0', importFrom: 'u1'});
});

test('avoids an upstream that generates ten times slower', () => {
	expect(choose([{tokenMs: 250, heldTokens: 7900}, {}])).toEqual({upstream: 'u1'});
});

test('an old report of a short queue counts less than a recent one', () => {
	const views = [{reportedAt: 0, heldTokens: 7400}, {
		reportedAt: 60_000, running: 8, queued: 0, heldTokens: 8000,
	}];
	expect(choose(views, 60_000)).toEqual({upstream: 'u1'});
	expect(choose([{...views[0], reportedAt: 60_000}, views[1]!], 60_000)).toEqual({upstream: 'u0'});
});
