import {fc, test} from '@fast-check/vitest';
import type {Result} from 'neverthrow';
import {
	afterEach, beforeEach, expect, vi,
} from 'vitest';
import type {Revision} from '@siskinhub/core/ids/revision.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {TableEdit} from '@siskinhub/core/table/table-edit.js';
import {callFaults} from '../../log/__tests__/call-faults.js';
import {createFaultyClient} from '../../log/__tests__/create-faulty-client.js';
import {createTable} from '../create-table.js';

// Longer than all timeouts and retries, so that every operation has ended.
const QUIET_PERIOD_MS = 60_000;
// Hundreds of scenarios must also finish on a busy machine.
const PROPERTY_TEST_TIMEOUT_MS = 120_000;
const ROWS = ['workspace/a', 'workspace/b', 'kind/c'] as RowKey[];

type Table = ReturnType<typeof createTable>;
type Submitted = {
	readonly edit: TableEdit;
	readonly submitted: Awaited<ReturnType<Table['submitEdit']>>;
	readonly fate: Awaited<ReturnType<Table['findEdit']>>;
};

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

const createTables = (faults: Parameters<typeof createFaultyClient>[0]) => {
	const {client, stopFaults} = createFaultyClient(faults);
	let commits = 0;
	const open = (writer: string) => createTable({
		client, writer, createCommitId: () => `c${commits++}`, isWatcher: () => false,
	});
	return {tables: [open('w0'), open('w1'), open('w2')], reader: open('reader'), stopFaults};
};

const sleep = async (ms: number) => new Promise<void>(resolve => {
	setTimeout(resolve, ms);
});

const advance = async <Value>(pending: Promise<Value>): Promise<Value> => {
	await vi.advanceTimersByTimeAsync(QUIET_PERIOD_MS);
	return pending;
};

const step = fc.record({
	table: fc.integer({min: 0, max: 2}),
	finder: fc.integer({min: 0, max: 2}),
	lag: fc.nat({max: 2}),
	row: fc.constantFrom(...ROWS),
	cell: fc.constantFrom('weight' as const, 'turns' as const),
	value: fc.integer({min: 1, max: 9}),
	/** Often less than the edit's timeout, so that `findEdit` is called while the edit is in flight. */
	findAfterMs: fc.integer({min: 0, max: 1500}),
	waitMs: fc.oneof(fc.constant(0), fc.integer({min: 20, max: 800})),
});

const summarizeOutcome = (result: Result<{readonly kind: string; readonly revision?: Revision}, {readonly kind: string}>) =>
	result.match(({kind, revision}) => kind === 'accepted' ? revision : kind, () => 'unknown');

test.prop([callFaults, fc.array(step, {minLength: 5, maxLength: 40})], {numRuns: 150})('submitEdit and findEdit report the true outcome of an edit', async (faults, steps) => {
	const {tables, reader, stopFaults} = createTables(faults);
	const outcomes: Submitted[] = [];
	const submit = async ({table, finder, lag, row, cell, value, findAfterMs}: (typeof steps)[number], editId: string) => {
		const against = Math.max(0, tables[table]!.revision() - lag) as Revision;
		const edit: TableEdit = {
			editId, who: `w${table}`, at: 0, against, changes: [{
				kind: 'set', row, cell, value,
			}],
		};
		const submitting = tables[table]!.submitEdit(edit, {timeoutMs: 1000});
		await sleep(findAfterMs);
		const fate = await tables[finder]!.findEdit({editId});
		outcomes.push({edit, submitted: await submitting, fate});
	};

	void tables[0]!.submitEdit({
		editId: 'rows', who: 'w0', at: 0, against: 0 as Revision, changes: ROWS.map(row => ({kind: 'add-row', row})),
	}, {timeoutMs: QUIET_PERIOD_MS});
	await vi.advanceTimersByTimeAsync(10_000);
	for (const [number, next] of steps.entries()) {
		void submit(next, `e${number}`);
		await vi.advanceTimersByTimeAsync(next.waitMs);
	}

	stopFaults();
	await advance(reader.refresh());
	await advance(reader.refresh());
	const {edits} = reader.state();
	expect(outcomes).toHaveLength(steps.length);
	for (const {edit: {editId}, submitted, fate} of outcomes) {
		const logRevision = edits.find(edit => edit.editId === editId)?.revision;
		expect(['unknown', logRevision ?? 'never'], `outcome of ${editId}`).toContain(summarizeOutcome(fate));
		if (submitted.isOk()) {
			expect(submitted.value.revision).toBe(logRevision);
		} else if (submitted.error.kind !== 'unavailable' || submitted.error.fate === 'not-written') {
			expect(logRevision).toBeUndefined();
		}
	}

	expect(edits.map(({revision}) => revision)).toEqual(edits.map((_, position) => position + 1));
}, PROPERTY_TEST_TIMEOUT_MS);
