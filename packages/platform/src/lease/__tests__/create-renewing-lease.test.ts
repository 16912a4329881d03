import {err, ok} from 'neverthrow';
import {
	afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import {createRenewingLease} from '../create-renewing-lease.js';

const TTL_MS = 6000;

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

const createWorld = () => {
	const service = {isDown: false, alive: new Set<string>(), granted: 0};
	const events: string[] = [];
	const answer = <Value>(value: Value) => service.isDown ? err({kind: 'unavailable' as const, message: 'down'}) : ok(value);
	const lease = createRenewingLease({
		client: {
			async grantLease() {
				const id = `l${++service.granted}`;
				service.alive.add(id);
				return answer({lease: id});
			},
			renewLease: async id => answer({alive: service.alive.has(id)}),
			async revokeLease(id) {
				service.alive.delete(id);
				return answer(undefined);
			},
		},
		ttlMs: TTL_MS,
		onGranted: id => events.push(`granted ${id}`),
		onLapsed: id => events.push(`lapsed ${id}`),
	});
	return {service, events, lease};
};

test('a lease is renewed, uncertain in an outage, and granted anew after it lapsed', async () => {
	const {service, events, lease} = createWorld();
	await vi.advanceTimersByTimeAsync(10 * TTL_MS);
	expect(lease.state()).toEqual({kind: 'held', lease: 'l1'});
	service.isDown = true;
	await vi.advanceTimersByTimeAsync(2 * TTL_MS);
	expect(lease.state()).toEqual({kind: 'uncertain', lease: 'l1'});
	service.isDown = false;
	service.alive.clear();
	await vi.advanceTimersByTimeAsync(TTL_MS);
	expect(lease.state()).toEqual({kind: 'held', lease: 'l2'});
	expect(events).toEqual(['granted l1', 'lapsed l1', 'granted l2']);
	await lease.close();
	expect([...service.alive]).toEqual([]);
	await vi.advanceTimersByTimeAsync(10 * TTL_MS);
	expect(lease.state()).toEqual({kind: 'none'});
});

test('a process that was paused finds its lease uncertain before any timer ran', async () => {
	const {lease} = createWorld();
	await vi.advanceTimersByTimeAsync(100);
	vi.setSystemTime(Date.now() + TTL_MS);
	expect(lease.state()).toEqual({kind: 'uncertain', lease: 'l1'});
});
