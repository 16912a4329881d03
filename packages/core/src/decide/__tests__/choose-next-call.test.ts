import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import type {RowKey} from '../../table/row-key.js';
import {activateRow} from '../activate-row.js';
import {chargeRow} from '../charge-row.js';
import {chooseNextCall} from '../choose-next-call.js';
import type {QueueView} from '../queue-view.js';
import type {QueuedCall} from '../queued-call.js';
import type {RowService} from '../row-service.js';

const base: QueuedCall = {
	row: 'workspace/a' as RowKey, weight: 1, priority: 0, startsProgram: true, missingTokens: 0, queuedAt: 0, programStartedAt: 0, attainedMs: 0,
};

const service = (rows: RowService = new Map()): QueueView => ({
	rows, slots: 8, running: 0, memoryTokens: 0, freeTokens: 0,
});

const calls = fc.array(fc.record({
	row: fc.constantFrom('workspace/a', 'workspace/b', 'workspace/c').map(row => row as RowKey),
	weight: fc.integer({min: 1, max: 8}),
	priority: fc.integer({min: -2, max: 2}),
	startsProgram: fc.boolean(),
	missingTokens: fc.nat(100_000),
	queuedAt: fc.nat(100_000),
	programStartedAt: fc.nat(100_000),
	attainedMs: fc.nat(1_000_000),
}), {minLength: 1, maxLength: 20});

test.prop([calls])('chooses a waiting call, whatever waits', waiting => {
	expect(waiting[chooseNextCall(waiting, service(), 100_000)]).toBeDefined();
});

test('an empty queue has no next call', () => {
	expect(chooseNextCall([], service(), 0)).toBe(-1);
});

test('the higher priority goes first', () => {
	expect(chooseNextCall([base, {...base, priority: 1}], service(), 0)).toBe(1);
});

test('the program with less attained service goes first', () => {
	expect(chooseNextCall([{...base, attainedMs: 500_000}, {...base, queuedAt: 50}], service(), 100)).toBe(1);
});

test('a call that has used half of its time to start goes before shorter programs, and not sooner', () => {
	const pressed = {...base, attainedMs: 500_000, startBy: 5000};
	const shorter = {...base, queuedAt: 2000, programStartedAt: 2000};
	expect(chooseNextCall([pressed, shorter], service(), 2400)).toBe(1);
	expect(chooseNextCall([pressed, shorter], service(), 2500)).toBe(0);
});

test('of two pressed calls the one with less time left goes first, and priority goes before both', () => {
	const waiting = [{...base, startBy: 6000}, {...base, attainedMs: 500_000, startBy: 5000}];
	expect(chooseNextCall(waiting, service(), 4000)).toBe(1);
	expect(chooseNextCall([...waiting, {...base, priority: 1}], service(), 4000)).toBe(2);
});

test('no pressed call is refused for its age while shorter programs keep coming and a slot is free in time', () => {
	const old = {...base, attainedMs: 3_000_000, startBy: 5000};
	let startedAt = Infinity;
	for (let now = 0; now <= 5000 && startedAt === Infinity; now += 250) {
		const newer = {
			...base, queuedAt: now, programStartedAt: now, startBy: now + 5000,
		};
		startedAt = chooseNextCall([newer, old], service(), now) === 1 ? now : Infinity;
	}

	expect(startedAt).toBeLessThanOrEqual(5000);
});

test.prop([fc.integer({min: 1, max: 6}), fc.integer({min: 0, max: 3_000_000})])('no call starves while newer ones of higher priority keep coming', (priority, attainedMs) => {
	const old = {...base, attainedMs};
	const boundMs = (30_000 * (priority + 1)) + (5000 * 10);
	let servedAt = Infinity;
	for (let now = 0; now <= boundMs && servedAt === Infinity; now += 1000) {
		const waiting = [{
			...base, priority, queuedAt: now, programStartedAt: now,
		}, old];
		if (chooseNextCall(waiting, service(), now) === 1) {
			servedAt = now;
		}
	}

	expect(servedAt).toBeLessThanOrEqual(boundMs);
});

test.prop([fc.array(fc.integer({min: 1, max: 8}), {minLength: 2, maxLength: 6}), fc.integer({min: 100, max: 9000})])('backlogged rows are served by weight', (weights, servedMs) => {
	const served = weights.map(() => 0);
	const waiting = weights.map((weight, index): QueuedCall => ({...base, weight, row: `workspace/${index}` as RowKey}));
	let rows: RowService = new Map();
	const rounds = 4000;
	for (let round = 0; round < rounds; round++) {
		const next = chooseNextCall(waiting, service(rows), 0);
		served[next]! += servedMs;
		rows = chargeRow(rows, waiting[next]!, servedMs);
	}

	const total = weights.reduce((sum, weight) => sum + weight, 0);
	const slackMs = 30_000 + servedMs;
	for (const [index, weight] of weights.entries()) {
		expect(Math.abs(served[index]! - (rounds * servedMs * weight / total))).toBeLessThanOrEqual(slackMs * total);
	}
});

const full = {
	...service(), running: 8, memoryTokens: 100_000, freeTokens: 20_000,
};

test('a start waits for memory, and a program under way goes first', () => {
	const start = {...base, missingTokens: 8000};
	expect(chooseNextCall([start], full, 0)).toBe(-1);
	expect(chooseNextCall([start, {
		...base, startsProgram: false, missingTokens: 8000, queuedAt: 9, attainedMs: 500_000,
	}], full, 10)).toBe(1);
	expect(chooseNextCall([{...start, missingTokens: 4000}], full, 0)).toBe(0);
});

test('a start waits while calls of programs under way do', () => {
	const roomy = {
		...full, slots: 32, running: 31, freeTokens: 100_000,
	};
	const underWay = {...base, startsProgram: false, attainedMs: 500_000};
	expect(chooseNextCall([base, underWay, underWay], roomy, 0)).toBe(1);
	expect(chooseNextCall([base, underWay], roomy, 0)).toBe(0);
});

test.prop([calls])('an idle engine always runs something, however full its memory', waiting => {
	expect(chooseNextCall(waiting, {...full, running: 0, freeTokens: 0}, 100_000)).not.toBe(-1);
});

test('a row that was idle saves up no credit', () => {
	const rows = new Map([['workspace/a' as RowKey, 500_000]]);
	expect(activateRow(rows, {row: 'workspace/b' as RowKey}, [base]).get('workspace/b' as RowKey)).toBe(500_000);
});
