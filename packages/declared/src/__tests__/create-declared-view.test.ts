import {fc, test} from '@fast-check/vitest';
import {describe, expect, it} from 'vitest';
import {createDeclaredView} from '../create-declared-view.js';

const entry = (key: string, revision: number, value?: string) => ({key, revision, ...(value !== undefined && {value})});

describe('createDeclaredView', () => {
	it('keeps the higher revision of a key in any order of arrival', () => {
		const view = createDeclaredView();
		view.apply({entries: [entry('a', 7, 'new')], revision: 7, isWhole: false});
		view.apply({entries: [entry('a', 5, 'old')], revision: 5, isWhole: false});
		expect(view.get('a')?.value).toBe('new');
		expect(view.revision()).toBe(7);
	});

	it('deletes a key that the whole state lacks, unless the key is newer', () => {
		const view = createDeclaredView();
		view.apply({entries: [entry('a', 3, 'x'), entry('b', 9, 'y')], revision: 3, isWhole: false});
		view.apply({entries: [], revision: 8, isWhole: true});
		expect(view.get('a')?.value).toBeUndefined();
		expect(view.get('b')?.value).toBe('y');
	});

	it('deletes no key because of a whole state that is older than the view', () => {
		const view = createDeclaredView();
		view.apply({entries: [entry('a', 3, 'x')], revision: 10, isWhole: false});
		view.apply({entries: [], revision: 8, isWhole: true});
		expect(view.get('a')?.value).toBe('x');
	});

	it('notifies listeners only if a value changes', () => {
		const view = createDeclaredView();
		const notified: string[] = [];
		view.onChange(({key, value}) => notified.push(`${key}=${value ?? 'gone'}`));
		view.apply({entries: [entry('a', 1, 'x')], revision: 1, isWhole: true});
		view.apply({entries: [entry('a', 2, 'x')], revision: 2, isWhole: false});
		view.apply({entries: [entry('a', 3)], revision: 3, isWhole: false});
		expect(notified).toEqual(['a=x', 'a=gone']);
	});

	const changes = fc.array(fc.record({key: fc.constantFrom('a', 'b', 'c'), revision: fc.integer({min: 1, max: 50}), isDeleted: fc.boolean()}), {maxLength: 20});

	test.prop([changes, fc.integer({min: 1, max: 20})])('the changes since its revision bring another view to the same state', (list, cut) => {
		// Each revision changes one key, as in the platform's service.
		const byRevision = new Map(list.map(change => [change.revision, change]));
		const entries = [...byRevision.values()].toSorted((a, b) => a.revision - b.revision).map(({key, revision, isDeleted}) => entry(key, revision, isDeleted ? undefined : String(revision)));
		const ahead = createDeclaredView();
		const behind = createDeclaredView();
		behind.apply({entries: entries.slice(0, cut), revision: entries[Math.min(cut, entries.length) - 1]?.revision ?? 0, isWhole: false});
		ahead.apply({entries, revision: entries.at(-1)?.revision ?? 0, isWhole: false});
		behind.apply(ahead.changesSince(behind.revision()));
		for (const key of ['a', 'b', 'c']) {
			expect(behind.get(key)?.value).toBe(ahead.get(key)?.value);
		}
	});
});
