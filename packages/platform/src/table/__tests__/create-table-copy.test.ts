import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import type {Revision} from '@siskinhub/core/ids/revision.js';
import {applyEdit} from '@siskinhub/core/table/apply-edit.js';
import {EMPTY_TABLE_LOG_STATE} from '@siskinhub/core/table/empty-table-log-state.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import {createTableCopy} from '../create-table-copy.js';

const LAST_REVISION = 520;
const ROW = 'workspace/delta' as RowKey;

const states = [EMPTY_TABLE_LOG_STATE];
for (let revision = 0; revision < LAST_REVISION; revision++) {
	const changes = revision === 0
		? [{kind: 'add-row' as const, row: ROW}]
		: [{
			kind: 'set' as const, row: ROW, cell: 'turns' as const, value: revision,
		}];
	states.push(applyEdit(states.at(-1)!, {
		editId: `e${revision}`, who: 'ana', at: 0, against: revision as Revision, changes,
	})._unsafeUnwrap());
}

const createCopyAt = (revision: number) => {
	const copy = createTableCopy();
	copy.adopt(states[revision]!);
	return copy;
};

const revisions = fc.oneof(fc.integer({min: 0, max: 30}), fc.integer({min: 0, max: LAST_REVISION}));
const messages = fc.array(fc.record({sender: revisions, asked: revisions}), {maxLength: 30});

test.prop([messages])('the revision of a copy never decreases, whatever deltas arrive in whatever order', received => {
	const copy = createTableCopy();
	const seen: number[] = [];
	copy.subscribe(({table}) => {
		seen.push(table.revision);
	});
	for (const {sender, asked} of received) {
		const delta = createCopyAt(sender).getDeltaSince(asked as Revision);
		if (delta) {
			const isTaken = copy.applyDelta(structuredClone(delta));
			expect(copy.revision() >= sender).toBe(isTaken);
		}

		expect(copy.state()).toEqual(states[copy.revision()]);
	}

	expect(seen).toEqual([...new Set(seen)].toSorted((a, b) => a - b));
});

test('a neighbour that lacks more edits than the kept history holds is sent the full state', () => {
	const newerCopy = createCopyAt(LAST_REVISION);
	expect(newerCopy.getDeltaSince(10 as Revision)).toMatchObject({kind: 'full'});
	expect(newerCopy.getDeltaSince(518 as Revision)).toMatchObject({kind: 'edits', edits: [{revision: 519}, {revision: 520}]});
	expect(newerCopy.getDeltaSince(LAST_REVISION as Revision)).toBeUndefined();
});
