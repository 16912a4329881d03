import {expect, test} from 'vitest';
import type {Revision} from '../../ids/revision.js';
import {resolveLimits} from '../resolve-limits.js';
import type {TableState} from '../table-state.js';

const revision = 1 as Revision;
const cell = (value: number) => ({value, revision, who: 'ana'});
const table: TableState = {
	revision,
	rows: Object.fromEntries(Object.entries({
		'workspace/delta': {weight: cell(3), turns: cell(20), 'wall-time': cell(60)},
		'kind/repair': {weight: cell(5), priority: cell(7), turns: cell(10)},
		'deployment/nile': {'program-budget': cell(0), priority: cell(1)},
		'deployment/bare': {},
		'workspace/bare': {},
		'kind/bare': {},
	})),
};

test('each limit is the least of the three rows; weight and priority come from the most specific row', () => {
	expect(resolveLimits(table, {deployment: 'nile', kind: 'repair', workspace: 'delta'})._unsafeUnwrap()).toEqual({
		weight: 3, priority: 7, programBudget: 0, turns: 10, wallTimeMs: 60_000,
	});
});

test('rows without cells have defaults and no limits', () => {
	expect(resolveLimits(table, {deployment: 'bare', kind: 'bare', workspace: 'bare'})._unsafeUnwrap()).toEqual({weight: 1, priority: 0});
});

test('rows that do not exist are listed', () => {
	expect(resolveLimits(table, {deployment: 'nile', kind: 'toString', workspace: 'nobody'})._unsafeUnwrapErr()).toEqual({
		kind: 'unknown-row', rows: ['workspace/nobody', 'kind/toString'],
	});
});
