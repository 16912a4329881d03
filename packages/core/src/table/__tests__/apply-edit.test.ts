import {fc, test} from '@fast-check/vitest';
import {describe, expect} from 'vitest';
import type {Revision} from '../../ids/revision.js';
import {abandonEdit} from '../abandon-edit.js';
import {applyEdit} from '../apply-edit.js';
import type {CellChange} from '../cell-change.js';
import {EMPTY_TABLE_LOG_STATE} from '../empty-table-log-state.js';
import {listEditsSince} from '../list-edits-since.js';
import type {RowKey} from '../row-key.js';
import type {TableEdit} from '../table-edit.js';
import type {TableLogState} from '../table-log-state.js';

const ROW = 'workspace/delta' as RowKey;
const OTHER_ROW = 'kind/repair' as RowKey;

let nextId = 0;
const createEdit = (against: number, changes: readonly CellChange[], who = 'ana'): TableEdit => ({
	editId: `e${nextId++}`, who, at: 0, against: against as Revision, changes,
});
const set = (row: RowKey, cell: 'weight' | 'budget' | 'turns', value: number): CellChange => ({
	kind: 'set', row, cell, value,
});
const apply = (state: TableLogState, edit: TableEdit) => applyEdit(state, edit)._unsafeUnwrap();

const withRows = apply(EMPTY_TABLE_LOG_STATE, createEdit(0, [{kind: 'add-row', row: ROW}, {kind: 'add-row', row: OTHER_ROW}]));

test('an edit is applied to the newest table if another cell was changed meanwhile', () => {
	const head = apply(withRows, createEdit(1, [set(ROW, 'weight', 2)], 'ana'));
	const {table} = apply(head, createEdit(1, [set(ROW, 'budget', 5)], 'ben'));
	expect(table).toMatchObject({
		revision: 3,
		rows: {[ROW]: {weight: {value: 2, revision: 2, who: 'ana'}, budget: {value: 5, revision: 3, who: 'ben'}}},
	});
});

test('an edit of a cell that was changed meanwhile is refused as a whole, with the current value', () => {
	const head = apply(withRows, createEdit(1, [set(ROW, 'weight', 2)], 'ana'));
	const refused = applyEdit(head, createEdit(1, [set(ROW, 'weight', 3), set(ROW, 'budget', 5)], 'ben'));
	expect(refused._unsafeUnwrapErr()).toEqual({
		kind: 'conflict', conflicts: [{
			row: ROW, cell: 'weight', value: 2, who: 'ana', revision: 2,
		}],
	});
});

test('a cell that was cleared meanwhile is a conflict', () => {
	const filled = apply(withRows, createEdit(1, [set(ROW, 'weight', 2)]));
	const head = apply(filled, createEdit(2, [{kind: 'clear', row: ROW, cell: 'weight'}], 'ana'));
	expect(applyEdit(head, createEdit(2, [set(ROW, 'weight', 3)]))._unsafeUnwrapErr()).toEqual({
		kind: 'conflict', conflicts: [{
			row: ROW, cell: 'weight', who: 'ana', revision: 3,
		}],
	});
});

test('removing a row conflicts with changes of its cells and vice versa', () => {
	const remove: CellChange = {kind: 'remove-row', row: ROW};
	const filled = apply(withRows, createEdit(1, [set(ROW, 'weight', 2)]));
	expect(applyEdit(filled, createEdit(1, [remove]))._unsafeUnwrapErr()).toMatchObject({kind: 'conflict'});
	const removed = apply(filled, createEdit(2, [remove]));
	expect(removed.table.rows).toEqual({[OTHER_ROW]: {}});
	expect(applyEdit(removed, createEdit(2, [set(ROW, 'budget', 3)]))._unsafeUnwrapErr()).toMatchObject({kind: 'conflict'});
	expect(applyEdit(removed, createEdit(3, [set(ROW, 'budget', 3)]))._unsafeUnwrapErr()).toMatchObject({kind: 'invalid'});
	expect(applyEdit(removed, createEdit(1, [{kind: 'add-row', row: OTHER_ROW}]))._unsafeUnwrapErr()).toMatchObject({kind: 'invalid'});
});

test('a repeated edit id has the same outcome, and an abandoned edit never takes effect', () => {
	const edit = createEdit(1, [set(ROW, 'weight', 2)]);
	const head = apply(withRows, edit);
	expect(apply(head, edit)).toBe(head);
	expect(abandonEdit(head, edit.editId)).toBe(head);
	const late = createEdit(1, [set(ROW, 'budget', 2)]);
	expect(applyEdit(abandonEdit(head, late.editId), late)._unsafeUnwrapErr()).toEqual({kind: 'abandoned'});
});

test('an edit made against a revision before the kept history is refused unless its cell shows when it was last changed', () => {
	let head = apply(withRows, createEdit(1, [set(ROW, 'weight', 2)]));
	for (let count = 0; count < 500; count++) {
		head = apply(head, createEdit(head.table.revision, [set(OTHER_ROW, 'turns', count + 1)]));
	}

	expect(head.edits).toHaveLength(500);
	expect(listEditsSince(head, 1 as Revision)).toBeUndefined();
	expect(listEditsSince(head, 500 as Revision)).toHaveLength(2);
	expect(applyEdit(head, createEdit(2, [set(ROW, 'weight', 3)])).isOk()).toBe(true);
	expect(applyEdit(head, createEdit(1, [set(ROW, 'budget', 3)]))._unsafeUnwrapErr()).toMatchObject({kind: 'conflict'});
});

describe('all faults of an edit are reported together', () => {
	test.each([
		[[set('workspace/a b' as RowKey, 'weight', 0)], 2],
		[[set(ROW, 'weight', 0), set(ROW, 'heft' as 'weight', 1)], 2],
		[[set(ROW, 'weight', 1.5), set(ROW, 'heft' as 'weight', 1)], 2],
		[[set(ROW, 'weight', Number.NaN)], 1],
		[[set('workspace/__proto__' as RowKey, 'weight', 1)], 1],
		[[], 1],
	])('%j', (changes, count) => {
		expect(applyEdit(withRows, createEdit(1, changes))._unsafeUnwrapErr()).toMatchObject({kind: 'invalid', faults: {length: count}});
	});

	test('a revision that does not exist yet', () => {
		expect(applyEdit(withRows, createEdit(9, [set(ROW, 'weight', 1)]))._unsafeUnwrapErr()).toMatchObject({kind: 'invalid'});
	});
});

const change = fc.oneof(
	{
		weight: 6, arbitrary: fc.record({
			kind: fc.constant('set' as const), row: fc.constantFrom(ROW, OTHER_ROW), cell: fc.constantFrom('weight' as const, 'turns' as const), value: fc.integer({min: 1, max: 9}),
		}),
	},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('clear' as const), row: fc.constantFrom(ROW, OTHER_ROW), cell: fc.constantFrom('weight' as const, 'turns' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('add-row' as const, 'remove-row' as const), row: fc.constantFrom(ROW, OTHER_ROW)})},
);

test.prop([fc.array(fc.record({lag: fc.nat({max: 4}), change}), {maxLength: 40})])('no edit overwrites a value that its editor has not seen', steps => {
	const states: TableLogState[] = [EMPTY_TABLE_LOG_STATE, withRows];
	for (const step of steps) {
		const head = states.at(-1)!;
		const against = Math.max(0, head.table.revision - step.lag);
		const seen = states[against]!.table.rows[step.change.row];
		const result = applyEdit(head, createEdit(against, [step.change]));
		if (result.isErr()) {
			continue;
		}

		const current = head.table.rows[step.change.row];
		expect('cell' in step.change ? current?.[step.change.cell] : current).toEqual('cell' in step.change ? seen?.[step.change.cell] : seen);
		states.push(result.value);
	}
});
