import {expect, it} from 'vitest';
import type {Route} from '../../routes/route.js';
import {diffRoutes} from '../diff-routes.js';

const route = (name: string, changes: Partial<Route> = {}): Route => ({
	name, host: 'h', prefix: '/', kind: 'idempotent', targets: [{service: 'a', weight: 1}], timeoutMs: 1000, objectiveMs: 100, maxRuns: 2, rank: 0, isResumable: false, keepsTurns: false, retentionMs: 0, isSticky: false, ...changes,
});

it('reports no change for equal routes in a different order', () => {
	expect(diffRoutes([route('a'), route('b')], [route('b'), route('a')])).toEqual([]);
});

it('reports added and removed routes and each changed field', () => {
	expect(diffRoutes([route('a'), route('gone')], [route('a', {timeoutMs: 500, targets: [{service: 'b', weight: 1}]}), route('new')])).toEqual([
		{
			kind: 'changed', route: 'a', field: 'targets', from: '[{"service":"a","weight":1}]', to: '[{"service":"b","weight":1}]',
		},
		{
			kind: 'changed', route: 'a', field: 'timeoutMs', from: '1000', to: '500',
		},
		{kind: 'added', route: 'new'},
		{kind: 'removed', route: 'gone'},
	]);
});
