import {expect, test} from 'vitest';
import {checkAtMostOnce} from '../check-at-most-once.js';
import {checkCrashingRequest} from '../check-crashing-request.js';
import {checkNotRun} from '../check-not-run.js';
import {checkOrder} from '../check-order.js';
import {checkWholeAnswer} from '../check-whole-answer.js';
import {buildRun} from './build-run.js';

const {
	call, final, ran, refused, run,
} = buildRun;
const A1 = 'a.t1.r1';
const A2 = 'a.t2.r1';
const A3 = 'a.t3.r1';
const cutAtLimit: ReturnType<typeof final> = {
	kind: 'final', text: 'a', bytes: 1, digest: 'd', finish: 'length', promptTokens: 1, outputTokens: 1,
};
const cut = {kind: 'cut', message: ''} as const;

test.each([
	['one run, answered on the second attempt', run([call(A1, [0, 5], cut), call(A1, [6, 9], final())], [ran(A1, 2, 4)]), 0],
	['one run, outcome unknown', run([call(A1, [0, 5], refused('outcome-unknown'))], [ran(A1, 2, 4)]), 0],
	['two runs of an idempotent request', run([call(A1, [0, 9], final(), {isIdempotent: true})], [ran(A1, 1, 2), ran(A1, 3, 4)]), 0],
	['two runs', run([call(A1, [0, 5], cut), call(A1, [6, 9], final())], [ran(A1, 2, 4), ran(A1, 7, 8)]), 1],
	['two runs on different upstreams, one of them lost', run([call(A1, [0, 9], final())], [ran(A1, 2, 4, {fate: 'lost'}), ran(A1, 7, 8, {upstream: 'engine-2'})]), 1],
	['a run after the outcome was called unknown', run([call(A1, [0, 5], refused('outcome-unknown'))], [ran(A1, 6, 8)]), 1],
	['an answer without a run', run([call(A1, [0, 5], final())]), 1],
])('at most once: %s', (_, recorded, violations) => {
	expect(checkAtMostOnce(recorded)).toHaveLength(violations);
});

test.each([
	['no run', run([call(A1, [0, 5], refused('not-run'))]), 0],
	['a run of a later attempt', run([call(A1, [0, 5], refused('not-run')), call(A1, [6, 9], final())], [ran(A1, 7, 8)]), 0],
	['a run of another request', run([call(A1, [0, 5], refused('not-run'))], [ran(A2, 2, 4)]), 0],
	['a run before the refusal', run([call(A1, [0, 5], refused('not-run'))], [ran(A1, 2, 4)]), 1],
	['a delayed copy that runs after the refusal', run([call(A1, [0, 9], cut), call(A1, [3, 5], refused('not-run'))], [ran(A1, 7, 8)]), 1],
	['a run that a cut attempt began before a retry was refused', run([call(A1, [0, 3], cut), call(A1, [4, 5], refused('not-run'))], [ran(A1, 1, 2)]), 1],
	['attaching does not count as a later attempt', run([call(A1, [0, 5], refused('not-run')), call(A1, [6, 9], cut, {kind: 'attach'})], [ran(A1, 7, 8)]), 1],
])('not run: %s', (_, recorded, violations) => {
	expect(checkNotRun(recorded)).toHaveLength(violations);
});

test.each([
	['turns one after the other', [ran(A1, 0, 5), ran(A2, 5, 6), ran(A3, 7, 9)], 0],
	['a lost run repeated before the next turn', [ran(A1, 0, 2, {fate: 'lost'}), ran(A1, 3, 5), ran(A2, 6, 7)], 0],
	['two programs interleaved', [ran(A1, 0, 5), ran('b.t1.r1', 1, 2), ran('b.t2.r1', 3, 4), ran(A2, 6, 7)], 0],
	['a turn that begins before its predecessor ended', [ran(A1, 0, 5), ran(A2, 4, 6)], 1],
	['a turn whose predecessor never ran', [ran(A1, 0, 1), ran(A3, 4, 6)], 1],
	['an earlier turn repeated after a later one began', [ran(A1, 0, 1), ran(A2, 2, 3), ran(A1, 4, 5)], 1],
])('order: %s', (_, executions, violations) => {
	expect(checkOrder(run([], executions))).toHaveLength(violations);
});

test.each([
	['the text of its run', run([call(A1, [0, 9], final('ab'))], [ran(A1, 1, 2)]), 0],
	['the text of one of its runs', run([call(A1, [0, 9], final('ab'))], [ran(A1, 1, 2, {text: 'a', fate: 'lost'}), ran(A1, 3, 4)]), 0],
	['the confirmation of a service', run([call(A1, [0, 9], final('{"confirmation":"c1"}'))], [ran(A1, 1, 2, {kind: 'service', confirmation: 'c1'})]), 0],
	['the text of another request', run([call(A1, [0, 9], final('cd'))], [ran(A1, 1, 2), ran(A2, 1, 2, {text: 'cd'})]), 1],
	['half of the text', run([call(A1, [0, 9], final('a'))], [ran(A1, 1, 2)]), 1],
	['a text shorter than stated', run([call(A1, [0, 9], {...final('ab'), bytes: 3} as ReturnType<typeof final>)], [ran(A1, 1, 2)]), 1],
	['a text with a gap', run([call(A1, [0, 9], {...final('ab'), gap: 'x'} as ReturnType<typeof final>)], [ran(A1, 1, 2)]), 1],
	['the beginning of a run that was cancelled at a limit', run([call(A1, [0, 9], {...final('a'), finish: 'budget'} as ReturnType<typeof final>)], [ran(A1, 1, 2, {fate: 'cancelled'})]), 0],
	['the beginning of a cancelled run that no limit cut', run([call(A1, [0, 9], final('a'))], [ran(A1, 1, 2, {fate: 'cancelled'})]), 1],
	['the beginning of a run that produced more than was asked', run([call(A1, [0, 9], cutAtLimit, {maxOutputTokens: 1})], [ran(A1, 1, 2, {outputTokens: 2})]), 0],
	['the beginning of a finished run', run([call(A1, [0, 9], {...final('a'), finish: 'length'} as ReturnType<typeof final>)], [ran(A1, 1, 2)]), 1],
	['the text of a lost run', run([call(A1, [0, 9], final('ab'))], [ran(A1, 1, 2, {fate: 'lost'})]), 1],
	['the confirmation of another request', run([call(A1, [0, 9], final('{"confirmation":"c2"}'))], [ran(A1, 1, 2, {kind: 'service', confirmation: 'c1'})]), 1],
])('whole answer: %s', (_, recorded, violations) => {
	expect(checkWholeAnswer(recorded)).toHaveLength(violations);
});

const lost = (at: number, upstream: string) => ran(`bad.t1.r${at}`, at, at, {fate: 'lost', upstream});
const isCrashing = (mark: string) => mark.startsWith('bad');

test.each([
	['two crashes and another request that is served', run([call(A1, [0, 9], cut), call(A1, [10, 12], final())], [lost(1, 'e1'), lost(2, 'e2')]), 0],
	['another request served under a new request id', run([call(A1, [0, 9], cut), call('a.t1.r2', [10, 12], final())], [lost(1, 'e1')]), 0],
	['three crashes', run([call(A1, [0, 9], final())], [lost(1, 'e1'), lost(2, 'e2'), lost(3, 'e1')]), 1],
	['another request that was never served', run([call(A1, [0, 9], cut)], [lost(1, 'e1')]), 1],
])('crashing request: %s', (_, recorded, violations) => {
	expect(checkCrashingRequest(recorded, isCrashing)).toHaveLength(violations);
});
