import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import type {RowKey} from '../../table/row-key.js';
import {activateRow} from '../activate-row.js';
import {chargeRow} from '../charge-row.js';
import {chooseNextCall} from '../choose-next-call.js';
import type {QueueView} from '../queue-view.js';
import type {QueuedCall} from '../queued-call.js';
import type {ServiceTimeByRow} from '../service-time-by-row.js';

const base: QueuedCall = {
	row: 'workspace/a' as RowKey, weight: 1, priority: 0, startsProgram: true, missingTokens: 0, queuedAt: 0, programStartedAt: 0, attainedMs: 0,
};

const createQueue = (rows: ServiceTimeByRow = new Map()): QueueView => ({
	rows, slots: 8, running: 0, memoryTokens: 0, freeTokens: 0,
});

const waitingCalls = fc.array(fc.record({
	row: fc.constantFrom('workspace/a', 'workspace/b', 'workspace/c').map(row => row as RowKey),
	weight: fc.integer({min: 1, max: 8}),
	priority: fc.integer({min: -2, max: 2}),
	startsProgram: fc.boolean(),
	missingTokens: fc.nat(100_000),
	queuedAt: fc.nat(100_000),
	programStartedAt: fc.nat(100_000),
	attainedMs: fc.nat(1_000_000),
}), {minLength: 1, maxLength: 20});

test.prop([waitingCalls])('some call is chosen from any non-empty queue', waiting => {
	expect(waiting[chooseNextCall(waiting, createQueue(), 100_000)]).toBeDefined();
});

test('no call is chosen from an empty queue', () => {
	expect(chooseNextCall([], createQueue(), 0)).toBe(-1);
});

test('the higher priority goes first', () => {
	expect(chooseNextCall([base, {...base, priority: 1}], createQueue(), 0)).toBe(1);
});

test('the program with less attained service goes first', () => {
	expect(chooseNextCall([{...base, attainedMs: 500_000}, {...base, queuedAt: 50}], createQueue(), 100)).toBe(1);
});

test('a call goes before shorter programs once half of its time to start is over, and not earlier', () => {
	const urgent = {...base, attainedMs: 500_000, startBy: 5000};
	const shorter = {...base, queuedAt: 2000, programStartedAt: 2000};
	expect(chooseNextCall([urgent, shorter], createQueue(), 2400)).toBe(1);
	expect(chooseNextCall([urgent, shorter], createQueue(), 2500)).toBe(0);
});

test('of two urgent calls the earlier deadline goes first, and a higher priority goes before both', () => {
	const waiting = [{...base, startBy: 6000}, {...base, attainedMs: 500_000, startBy: 5000}];
	expect(chooseNextCall(waiting, createQueue(), 4000)).toBe(1);
	expect(chooseNextCall([...waiting, {...base, priority: 1}], createQueue(), 4000)).toBe(2);
});

test('an urgent call starts before its deadline while shorter programs keep arriving', () => {
	const old = {...base, attainedMs: 3_000_000, startBy: 5000};
	let startedAt = Infinity;
	for (let now = 0; now <= 5000 && startedAt === Infinity; now += 250) {
		const newer = {
			...base, queuedAt: now, programStartedAt: now, startBy: now + 5000,
		};
		startedAt = chooseNextCall([newer, old], createQueue(), now) === 1 ? now : Infinity;
	}

	expect(startedAt).toBeLessThanOrEqual(5000);
});

test.prop([fc.integer({min: 1, max: 6}), fc.integer({min: 0, max: 3_000_000})])('no call starves while newer calls of higher priority keep arriving', (priority, attainedMs) => {
	const old = {...base, attainedMs};
	const boundMs = (30_000 * (priority + 1)) + (5000 * 10);
	let servedAt = Infinity;
	for (let now = 0; now <= boundMs && servedAt === Infinity; now += 1000) {
		const waiting = [{
			...base, priority, queuedAt: now, programStartedAt: now,
		}, old];
		if (chooseNextCall(waiting, createQueue(), now) === 1) {
			servedAt = now;
		}
	}

	expect(servedAt).toBeLessThanOrEqual(boundMs);
});

test.prop([fc.array(fc.integer({min: 1, max: 8}), {minLength: 2, maxLength: 6}), fc.integer({min: 100, max: 9000})])('shares of backlogged rows follow their weights', (weights, servedMs) => {
	const served = weights.map(() => 0);
	const waiting = weights.map((weight, index): QueuedCall => ({...base, weight, row: `workspace/${index}` as RowKey}));
	let rows: ServiceTimeByRow = new Map();
	const rounds = 4000;
	for (let round = 0; round < rounds; round++) {
		const next = chooseNextCall(waiting, createQueue(rows), 0);
		served[next]! += servedMs;
		rows = chargeRow(rows, waiting[next]!, servedMs);
	}

	const total = weights.reduce((sum, weight) => sum + weight, 0);
	const slackMs = 30_000 + servedMs;
	for (const [index, weight] of weights.entries()) {
		expect(Math.abs(served[index]! - (rounds * servedMs * weight / total))).toBeLessThanOrEqual(slackMs * total);
	}
});

const fullQueue = {
	...createQueue(), running: 8, memoryTokens: 100_000, freeTokens: 20_000,
};

test('a starting program waits for memory, and calls of active programs go first', () => {
	const start = {...base, missingTokens: 8000};
	expect(chooseNextCall([start], fullQueue, 0)).toBe(-1);
	expect(chooseNextCall([start, {
		...base, startsProgram: false, missingTokens: 8000, queuedAt: 9, attainedMs: 500_000,
	}], fullQueue, 10)).toBe(1);
	expect(chooseNextCall([{...start, missingTokens: 4000}], fullQueue, 0)).toBe(0);
});

test('a starting program waits while several calls of active programs are queued', () => {
	const roomy = {
		...fullQueue, slots: 32, running: 31, freeTokens: 100_000,
	};
	const continuing = {...base, startsProgram: false, attainedMs: 500_000};
	expect(chooseNextCall([base, continuing, continuing], roomy, 0)).toBe(1);
	expect(chooseNextCall([base, continuing], roomy, 0)).toBe(0);
});

test.prop([waitingCalls])('an idle engine always runs something, even if its memory is full', waiting => {
	expect(chooseNextCall(waiting, {...fullQueue, running: 0, freeTokens: 0}, 100_000)).not.toBe(-1);
});

test('an idle row earns no credit', () => {
	const rows = new Map([['workspace/a' as RowKey, 500_000]]);
	expect(activateRow(rows, {row: 'workspace/b' as RowKey}, [base]).get('workspace/b' as RowKey)).toBe(500_000);
});
