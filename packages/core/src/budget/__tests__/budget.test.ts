import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import type {Epoch} from '../../ids/epoch.js';
import type {Revision} from '../../ids/revision.js';
import type {ShardId} from '../../ids/shard-id.js';
import {createBudgetLedger} from '../create-budget-ledger.js';
import {EMPTY_BUDGET_ACCOUNT} from '../empty-budget-account.js';
import {returnBlock} from '../return-block.js';
import {sumAllocatedTokens} from '../sum-allocated-tokens.js';
import {takeBlock} from '../take-block.js';

const LIMIT = 1000;

const createTake = (shard: number, epoch: number, atLeast: number, limit = LIMIT, limitRevision = 1) => ({
	shard: shard as ShardId, epoch: epoch as Epoch, changeId: 'c', atLeast, limit, limitRevision: limitRevision as Revision,
});

const step = fc.record({
	shard: fc.integer({min: 0, max: 5}),
	epoch: fc.integer({min: 1, max: 3}),
	amount: fc.integer({min: 1, max: 400}),
	isReturn: fc.boolean(),
});

test.prop([fc.array(step, {maxLength: 60})])('the sum of all blocks never exceeds the limit, and epochs never decrease', steps => {
	let account = EMPTY_BUDGET_ACCOUNT;
	for (const {shard, epoch, amount, isReturn} of steps) {
		const held = account.shards[shard];
		const change = createTake(shard, epoch, amount);
		if (isReturn) {
			const rest = held ? Math.min(amount, held.taken - held.returned) : 0;
			account = returnBlock(account, {...change, amount: rest}).unwrapOr(account);
		} else {
			const taken = takeBlock(account, change);
			account = taken.isOk() ? taken.value.account : account;
		}

		expect(sumAllocatedTokens(account)).toBeLessThanOrEqual(LIMIT);
		expect(account.shards[shard]?.epoch ?? 0).toBeGreaterThanOrEqual(held?.epoch ?? 0);
	}
});

test('blocks shrink as the budget runs out', () => {
	const first = takeBlock(EMPTY_BUDGET_ACCOUNT, createTake(0, 1, 1))._unsafeUnwrap();
	const second = takeBlock(first.account, createTake(1, 1, 1))._unsafeUnwrap();
	expect([first.granted, second.granted]).toEqual([62, 58]);
	expect(takeBlock(second.account, createTake(1, 1, 881))._unsafeUnwrapErr()).toEqual({kind: 'exhausted', remaining: 880});
});

test('an earlier owner is fenced, and its block stays spent', () => {
	const {account} = takeBlock(EMPTY_BUDGET_ACCOUNT, createTake(0, 1, 600))._unsafeUnwrap();
	const later = takeBlock(account, createTake(0, 2, 300))._unsafeUnwrap().account;
	expect(sumAllocatedTokens(later)).toBe(900);
	expect(takeBlock(later, createTake(0, 1, 1))._unsafeUnwrapErr()).toEqual({kind: 'fenced'});
	expect(returnBlock(later, {...createTake(0, 1, 1), amount: 600})._unsafeUnwrapErr()).toEqual({kind: 'fenced'});
});

test('the lower limit applies to an owner that has not yet read it', () => {
	const {account} = takeBlock(EMPTY_BUDGET_ACCOUNT, createTake(0, 1, 10, 100, 2))._unsafeUnwrap();
	expect(takeBlock(account, createTake(1, 1, 500, LIMIT, 1))._unsafeUnwrapErr()).toEqual({kind: 'exhausted', remaining: 90});
	expect(takeBlock(account, createTake(1, 1, 500, LIMIT, 3)).isOk()).toBe(true);
});

test('a ledger reserves, settles, releases and charges overruns', () => {
	const ledger = createBudgetLedger();
	ledger.addBlock(100);
	expect(ledger.reserve('a', 70).isOk()).toBe(true);
	expect(ledger.reserve('a', 70).isOk()).toBe(true);
	expect(ledger.reserve('b', 40)._unsafeUnwrapErr()).toEqual({kind: 'needs-block', missing: 10});
	ledger.settle('a', 20);
	ledger.settle('a', 20);
	expect(ledger.reserve('b', 40).isOk()).toBe(true);
	ledger.release('b');
	expect(ledger.totals()).toEqual({available: 80, reserved: 0, settled: 20});
	ledger.reserve('c', 80);
	ledger.settle('c', 90);
	expect(ledger.reserve('d', 1)._unsafeUnwrapErr()).toEqual({kind: 'needs-block', missing: 11});
	expect(ledger.takeUnreserved()).toBe(0);
});
