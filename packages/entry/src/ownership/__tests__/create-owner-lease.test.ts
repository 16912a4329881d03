import {err, ok} from 'neverthrow';
import {expect, test} from 'vitest';
import {createOwnerLease} from '../create-owner-lease.js';

const createLeaseWithService = () => {
	const service = {
		isDown: false, isAnswerLost: false, alive: new Set<string>(), granted: 0, version: 0, value: '', writes: 0,
	};
	const unavailable = {kind: 'unavailable' as const, message: 'down'};
	const answer = <Value>(value: Value) => service.isDown ? err(unavailable) : ok(value);
	const lease = createOwnerLease({
		key: 'owners/e1',
		ttlMs: 6000,
		platform: {
			async grantLease() {
				if (!service.isDown) {
					service.alive.add(`l${++service.granted}`);
				}

				return answer({lease: `l${service.granted}`});
			},
			renewLease: async id => answer({alive: service.alive.has(id)}),
			async revokeLease(id) {
				service.alive.delete(id);
				return answer(undefined);
			},
			async put({value, expectedVersion}) {
				service.writes++;
				if (expectedVersion !== service.version) {
					return answer({kind: 'conflict' as const, current: {key: 'owners/e1', value: service.value, version: service.version}});
				}

				service.version++;
				service.value = value;
				return service.isAnswerLost ? err(unavailable) : answer({kind: 'stored' as const, version: service.version});
			},
		},
	});
	return {service, lease};
};

test('a lease is renewed, kept during an outage, and replaced after it has expired', async () => {
	const {service, lease} = createLeaseWithService();
	expect(lease.isHeld()).toBe(false);
	await lease.renew();
	await lease.renew();
	expect(service.granted).toBe(1);
	service.isDown = true;
	const renewed = await lease.renew();
	expect(renewed.isErr()).toBe(true);
	expect(lease.isHeld()).toBe(true);
	service.isDown = false;
	service.alive.clear();
	await lease.renew();
	expect([...service.alive]).toEqual(['l2']);
	await lease.revoke();
	expect([...service.alive]).toEqual([]);
});

test('a value is written once under each lease and not at all without one', async () => {
	const {service, lease} = createLeaseWithService();
	await lease.announce('a');
	expect(service.writes).toBe(0);
	await lease.renew();
	await lease.announce('a');
	await lease.announce('a');
	expect(service.writes).toBe(1);
	service.alive.clear();
	service.version = 0;
	await lease.renew();
	await lease.announce('a');
	expect(service.writes).toBe(2);
});

test('a write whose reply was lost is overwritten', async () => {
	const {service, lease} = createLeaseWithService();
	await lease.renew();
	service.isAnswerLost = true;
	await lease.announce('a');
	service.isAnswerLost = false;
	await lease.announce('b');
	await lease.announce('b');
	expect(service.value).toBe('b');
	await lease.announce('b');
	expect(service.writes).toBe(3);
});
