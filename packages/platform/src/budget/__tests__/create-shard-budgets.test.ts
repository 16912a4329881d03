import {fc, test} from '@fast-check/vitest';
import {
	afterEach, beforeEach, expect, vi,
} from 'vitest';
import {sumAllocatedTokens} from '@siskinhub/core/budget/sum-allocated-tokens.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {Revision} from '@siskinhub/core/ids/revision.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import {unwrap} from '../../__tests__/unwrap.js';
import {callFaults} from '../../log/__tests__/call-faults.js';
import {createFaultyClient} from '../../log/__tests__/create-faulty-client.js';
import {createShardBudgets} from '../create-shard-budgets.js';
import {parseVersionedAccount} from '../parse-versioned-account.js';

const ROW = 'workspace/delta' as RowKey;
// Longer than all timeouts and retries, so that every operation has ended.
const QUIET_PERIOD_MS = 60_000;
// Hundreds of scenarios must also finish on a busy machine.
const PROPERTY_TEST_TIMEOUT_MS = 120_000;

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

const createTestContext = (faults: Parameters<typeof createFaultyClient>[0]) => {
	const {client, calls, stopFaults} = createFaultyClient(faults);
	let changes = 0;
	const open = (shard: number, epoch: number) => createShardBudgets({
		client, shard: shard as ShardId, epoch: epoch as Epoch, createChangeId: () => `c${changes++}`,
	});
	return {
		open,
		calls,
		async readOutstanding() {
			stopFaults();
			await vi.advanceTimersByTimeAsync(QUIET_PERIOD_MS);
			const reading = client.get(`budget/${ROW}`);
			await vi.advanceTimersByTimeAsync(10);
			return sumAllocatedTokens(parseVersionedAccount(await unwrap(reading))!.account);
		},
	};
};

const createReservation = (id: string, amount: number, limit: number, limitRevision: number) => ({
	row: ROW, id, amount, limit, limitRevision: limitRevision as Revision, timeoutMs: 1000,
});

const step = fc.record({
	shard: fc.integer({min: 0, max: 3}),
	kind: fc.oneof(
		{weight: 8, arbitrary: fc.constant('reserve' as const)},
		{weight: 4, arbitrary: fc.constantFrom('settle' as const, 'release' as const)},
		{weight: 1, arbitrary: fc.constantFrom('crash' as const, 'handover' as const, 'lower' as const)},
	),
	amount: fc.integer({min: 1, max: 300}),
	costShare: fc.double({min: 0, max: 1, noNaN: true}),
	waitMs: fc.oneof(fc.constant(0), fc.integer({min: 10, max: 1500})),
});

test.prop([callFaults, fc.array(step, {minLength: 20, maxLength: 70})], {numRuns: 300})('settled and reserved tokens never exceed the budget cell', async (faults, steps) => {
	const context = createTestContext(faults);
	const owners = new Map([0, 1, 2, 3].map(shard => [shard, {shard, epoch: 1, budgets: context.open(shard, 1)}]));
	const all = [...owners.values()];
	const open: Array<{readonly id: string; readonly amount: number; readonly owner: (typeof all)[number]}> = [];
	const highestLimit = 2000;
	const cell = {limit: highestLimit, revision: 1};

	const replace = ({shard, epoch}: (typeof all)[number]) => {
		const next = {shard, epoch: epoch + 1, budgets: context.open(shard, epoch + 1)};
		owners.set(shard, next);
		all.push(next);
	};

	const sumSpent = () => all.map(({budgets}) => budgets.totals(ROW)).reduce((sum, {reserved, settled}) => sum + reserved + settled, 0);

	const reserve = async (owner: (typeof all)[number], id: string, amount: number) => {
		const result = await owner.budgets.reserve(createReservation(id, amount, cell.limit, cell.revision));
		if (result.isOk()) {
			open.push({id, amount, owner});
		}
	};

	const endFirst = (owner: (typeof all)[number], costShare: number) => {
		const position = open.findIndex(reservation => reservation.owner === owner);
		const [ended] = position === -1 ? [] : open.splice(position, 1);
		if (ended) {
			owner.budgets.settle(ROW, ended.id, Math.floor(ended.amount * costShare));
		}
	};

	for (const [number, {shard, kind, amount, costShare, waitMs}] of steps.entries()) {
		const owner = owners.get(shard)!;
		const actions = {
			reserve() {
				void reserve(owner, `r${number}`, amount);
			},
			settle() {
				endFirst(owner, costShare);
			},
			release() {
				endFirst(owner, 0);
			},
			crash() {
				owner.budgets.close();
				replace(owner);
			},
			// The previous owner is not closed: it may be paused halfway and continue later.
			handover() {
				void owner.budgets.returnAll();
				replace(owner);
			},
			lower() {
				cell.limit -= 100;
				cell.revision++;
			},
		};
		actions[kind]();
		await vi.advanceTimersByTimeAsync(waitMs);
		expect(sumSpent()).toBeLessThanOrEqual(highestLimit);
	}

	const outstanding = await context.readOutstanding();
	expect(outstanding).toBeLessThanOrEqual(highestLimit);
	expect(sumSpent()).toBeLessThanOrEqual(outstanding);
	const held = all.reduce((sum, {budgets}) => sum + budgets.totals(ROW).available, 0);
	expect(sumSpent() + held).toBeLessThanOrEqual(outstanding);
}, PROPERTY_TEST_TIMEOUT_MS);

test('calls are reserved from memory, and lowering the cell returns unreserved tokens and refuses further calls', async () => {
	const context = createTestContext([]);
	const budgets = context.open(0, 1);
	const reserve = async (id: string, amount: number, limit: number, limitRevision: number) => {
		const pending = budgets.reserve(createReservation(id, amount, limit, limitRevision));
		await vi.advanceTimersByTimeAsync(100);
		return pending;
	};

	expect(await reserve('a', 10, 16_000, 1)).toMatchObject({value: undefined});
	const callsBefore = context.calls();
	for (let count = 0; count < 90; count++) {
		expect(await reserve(`b${count}`, 10, 16_000, 1)).toMatchObject({value: undefined});
	}

	expect(context.calls()).toBe(callsBefore);
	expect(await reserve('c', 10, 900, 2)).toMatchObject({error: {kind: 'exhausted'}});
	expect(await context.readOutstanding()).toBe(910);
});
