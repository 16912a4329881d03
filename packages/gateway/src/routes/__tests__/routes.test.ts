import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {chooseService} from '../choose-service.js';
import {createRouteTable} from '../create-route-table.js';
import type {DeclaredRoutes} from '../declared-routes.js';
import type {Route} from '../route.js';

const route = (name: string, prefix: string): Route => ({
	name, host: 'Shop.Example', prefix, kind: 'idempotent', targets: [{service: 'a', weight: 90}, {service: 'b', weight: 10}], timeoutMs: 1, objectiveMs: 1, maxRuns: 1, rank: 0, isResumable: false, keepsTurns: false, retentionMs: 0, isSticky: false,
});

const declare = (version: number, ...routes: Route[]): DeclaredRoutes => ({
	version, routes, services: new Map(), limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
});

describe('createRouteTable', () => {
	it('matches the longest prefix of the host and ignores the query', () => {
		const table = createRouteTable();
		table.replace(declare(1, route('short', '/a/'), route('long', '/a/b/')));
		expect(table.match('shop.example', '/a/b/c?x=/z/')?.name).toBe('long');
		expect(table.match('shop.example', '/a/c')?.name).toBe('short');
		expect(table.match('shop.example', '/b?p=/a/')).toBeUndefined();
		expect(table.match('other.example', '/a/c')).toBeUndefined();
	});

	it('does not replace routes by an older version', () => {
		const table = createRouteTable();
		expect(table.replace(declare(7, route('new', '/a/')))).toBe(true);
		expect(table.replace(declare(5, route('old', '/a/')))).toBe(false);
		expect(table.match('shop.example', '/a/')?.name).toBe('new');
	});
});

describe('waitForFirst', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	it('resolves as soon as routes are in force', async () => {
		const table = createRouteTable();
		const waiting = table.waitForFirst(1000);
		await vi.advanceTimersByTimeAsync(30);
		table.replace(declare(1, route('first', '/a/')));
		await waiting;
		expect(table.match('shop.example', '/a/')?.name).toBe('first');
		expect(vi.getTimerCount()).toBe(0);
	});

	it('resolves after the timeout, and at once if routes are in force', async () => {
		const table = createRouteTable();
		const waiting = table.waitForFirst(1000);
		await vi.advanceTimersByTimeAsync(1000);
		await waiting;
		expect(table.current()).toBeUndefined();
		table.replace(declare(1));
		await table.waitForFirst(1000);
		expect(vi.getTimerCount()).toBe(0);
	});
});

describe('chooseService', () => {
	it.each([[0, 'a'], [0.89, 'a'], [0.91, 'b'], [0.999, 'b']])('splits by weight: %d goes to %s', (share, service) => {
		expect(chooseService(route('r', '/'), share)).toBe(service);
	});

	it('returns no service if the route has none', () => {
		expect(chooseService({...route('r', '/'), targets: []}, 0.5)).toBeUndefined();
	});
});
