import {expect, test} from 'vitest';
import {checkBudget} from '../check-budget.js';
import {checkEngineMemory} from '../check-engine-memory.js';
import {checkGracefulStop} from '../check-graceful-stop.js';
import {checkHistory} from '../check-history.js';
import {checkLeaving} from '../check-leaving.js';
import {checkTable} from '../check-table.js';
import {buildRun} from './build-run.js';

const {
	call, final, ran, run,
} = buildRun;
const cut = {kind: 'cut', message: ''} as const;

const turn = (mark: string, number: number, output = 'ab', digest = 'd') => ({
	turn: number, requestId: mark, output, digest,
});
const read = (id: number, turns: ReadonlyArray<ReturnType<typeof turn>>, extra: Record<string, unknown> = {}) => ({
	id, kind: 'history', via: 'entry-1', program: 'p1-a', detail: 'a', invokedAt: id, completedAt: id, outcome: {
		kind: 'done', value: {
			program: 'p1-a', digest: turns.at(-1)?.digest ?? '', turns, ...extra,
		},
	},
} as const);
const answered = call('a.t1.r1', [0, 5], final());

test.each([
	['an empty history before any answer', [read(1, [])], 0],
	['the answered turn', [answered, read(6, [turn('a.t1.r1', 1)])], 0],
	['a history that grew', [read(1, [turn('a.t1.r1', 1)]), read(2, [turn('a.t1.r1', 1), turn('a.t2.r1', 2, 'cd', 'e')])], 0],
	['a lost turn', [answered, read(6, [])], 1],
	['another program\'s turn', [read(6, [turn('b.t1.r1', 1)])], 1],
	['another program\'s name', [read(6, [], {program: 'p1-b'})], 1],
	['a turn out of place', [read(6, [turn('a.t2.r1', 2)])], 1],
	['an output that differs from the answer', [answered, read(6, [turn('a.t1.r1', 1, 'ax')])], 1],
	['a digest that differs from the answer', [answered, read(6, [turn('a.t1.r1', 1, 'ab', 'x')])], 1],
	['a history that shrank', [read(1, [turn('a.t1.r1', 1)]), read(2, [])], 1],
	['a history that was replaced', [read(1, [turn('a.t1.r1', 1)]), read(2, [turn('a.t1.r2', 1, 'cd', 'e')])], 1],
])('history: %s', (_, operations, violations) => {
	expect(checkHistory(run(operations))).toHaveLength(violations);
});

const cost = (at: number, tokens: number) => ran('a.t1.r1', at, at + 1, {promptTokens: tokens - 1, outputTokens: 1});

test.each([
	['spending up to the limit', [cost(1, 50), cost(2, 50)], [{tokens: 100, from: 0}], 0],
	['lost and cancelled runs count', [{...cost(1, 60), fate: 'lost' as const}, {...cost(2, 60), fate: 'cancelled' as const}], [{tokens: 100, from: 0}], 1],
	['one token more than the limit', [cost(1, 50), cost(2, 51)], [{tokens: 100, from: 0}], 1],
	['a run that began before the limit was lowered', [cost(1, 80)], [{tokens: 100, from: 0}, {tokens: 50, from: 2}], 0],
	['a run that began after the limit was lowered', [cost(1, 40), cost(3, 20)], [{tokens: 100, from: 0}, {tokens: 50, from: 2}], 1],
])('budget: %s', (_, executions, limits, violations) => {
	expect(checkBudget(executions, limits)).toHaveLength(violations);
});

const snapshot = (at: number, groups: readonly string[]) => ({at, engine: 'engine-1', groups});

test.each([
	['the prefix of a live program', [snapshot(100, ['p1-b'])], 0],
	['the prefix of an ended program within the bound', [snapshot(15, ['p1-a'])], 0],
	['the prefix of an ended program after the bound', [snapshot(21, ['p1-a'])], 1],
])('engine memory: %s', (_, snapshots, violations) => {
	expect(checkEngineMemory(snapshots, [{program: 'p1-a', endedAt: 10}], 10)).toHaveLength(violations);
});

test.each([
	['work before the bound', [ran('a.t1.r1', 15, 30)], 0],
	['work on another upstream', [ran('a.t1.r1', 25, 30, {upstream: 'engine-2'})], 0],
	['work after the upstream is available again', [ran('a.t1.r1', 51, 60)], 0],
	['new work after the bound', [ran('a.t1.r1', 21, 30)], 1],
])('leaving: %s', (_, executions, violations) => {
	expect(checkLeaving(executions, [{upstream: 'engine-1', at: 10, until: 50}], 10)).toHaveLength(violations);
});

const stop = {
	process: 'entry-1', signalledAt: 1010, exitedAt: 1020, exitCode: 0,
};

test.each([
	['a call in flight is answered', [call('a.t1.r1', [0, 1015], final(), {acceptedAt: 5})], stop, 0],
	['a call sent just before the signal may be cut', [call('a.t1.r1', [1005, 1015], cut)], stop, 0],
	['a call of another entry that was not accepted yet may be cut', [call('a.t1.r1', [0, 1015], cut, {via: 'entry-2'})], stop, 0],
	['a call that was not accepted yet is refused', [call('a.t1.r1', [0, 1015], buildRun.refused('not-run'))], stop, 0],
	['a call that was not accepted yet is cut', [call('a.t1.r1', [0, 1015], cut)], stop, 1],
	['a call in flight is refused', [call('a.t1.r1', [0, 1015], buildRun.refused('not-run'), {acceptedAt: 5})], stop, 1],
	['a call in flight at another entry is cut', [call('a.t1.r1', [0, 1015], cut, {acceptedAt: 5, via: 'entry-2'})], stop, 1],
	['a call in flight has no end', [call('a.t1.r1', [0, 1015], cut, {acceptedAt: 5, completedAt: undefined, outcome: undefined})], stop, 1],
	['another exit code', [], {...stop, exitCode: 1}, 1],
	['a late exit', [], {...stop, exitedAt: 1111}, 1],
	['no exit', [], {...stop, exitedAt: undefined}, 1],
])('graceful stop: %s', (_, operations, planned, violations) => {
	expect(checkGracefulStop(run(operations), [planned], 100)).toHaveLength(violations);
});

const seen = (at: number, revision: number, value?: number, instance = 'i1') => ({
	at, process: 'entry-1', instance, revision, cells: (value === undefined ? {} : {'workspace/a.weight': value}) as Record<string, number>,
});
const edit = {
	editId: 'e1', cell: 'workspace/a.weight', value: 7, answeredAt: 10,
};
const accepted = {...edit, revision: 2};
const stored = [{editId: 'e1', revision: 2}];

test.each([
	['an edit that reaches the process in time', [seen(5, 1), seen(15, 1), seen(25, 2, 7)], [accepted], stored, 0],
	['a refused edit that is not in the history', [], [edit], [], 0],
	['a process whose revision decreases', [seen(5, 2, 7), seen(6, 1)], [accepted], stored, 1],
	['a restarted process that is briefly behind', [seen(5, 2, 7), seen(6, 1, undefined, 'i2')], [accepted], stored, 0],
	['a process that stays behind', [seen(25, 1)], [accepted], stored, 1],
	['two different tables at one revision', [seen(5, 3, 7), seen(6, 3, 8, 'i2')], [], [], 1],
	['a revision without its edit', [seen(5, 2, 6)], [accepted], stored, 1],
	['an accepted edit that the history lacks', [], [accepted], [], 1],
	['a refused edit that took effect', [], [edit], stored, 1],
	['an edit that took effect twice', [], [accepted], [...stored, {editId: 'e1', revision: 3}], 1],
])('table: %s', (_, observations, edits, history, violations) => {
	expect(checkTable(observations, edits, history, 10)).toHaveLength(violations);
});
