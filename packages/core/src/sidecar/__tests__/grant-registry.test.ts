import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import type {ClaimId} from '../../ids/claim-id.js';
import type {Epoch} from '../../ids/epoch.js';
import type {InstanceId} from '../../ids/instance-id.js';
import type {ShardId} from '../../ids/shard-id.js';
import {createGrantRegistry} from '../create-grant-registry.js';

const INSTANCE = 'sidecar-1' as InstanceId;

const createGrant = (sequence: number, epoch = 1, attachOnly = false) => ({
	claim: `c${epoch}-${sequence}` as ClaimId,
	shard: 0 as ShardId,
	epoch: epoch as Epoch,
	claimEpoch: epoch as Epoch,
	sequence,
	sidecarInstance: INSTANCE,
	attachOnly,
});

test.prop([
	fc.array(fc.record({
		sequence: fc.integer({min: 1, max: 30}), epoch: fc.integer({min: 1, max: 3}), attachOnly: fc.boolean(), isAccepting: fc.boolean(),
	}), {maxLength: 200}),
	fc.integer({min: 1, max: 10}),
])('no grant runs twice, and a refused grant never runs', (presented, maxRecords) => {
	const registry = createGrantRegistry({instance: INSTANCE, maxRecords});
	const ran = new Set<string>();
	const refused = new Set<string>();
	for (const {sequence, epoch, attachOnly, isAccepting} of presented) {
		const grant = createGrant(sequence, epoch, attachOnly);
		const admission = registry.admit(grant, isAccepting);
		if (admission.kind === 'run') {
			expect(ran.has(grant.claim)).toBe(false);
			expect(refused.has(grant.claim)).toBe(false);
			ran.add(grant.claim);
		}

		if (admission.kind === 'refuse') {
			expect(ran.has(grant.claim)).toBe(false);
			refused.add(grant.claim);
		}
	}
});

test('an earlier epoch is refused after a later one was seen', () => {
	const registry = createGrantRegistry({instance: INSTANCE, maxRecords: 10});
	expect(registry.admit(createGrant(1, 2), true).kind).toBe('run');
	expect(registry.admit(createGrant(2, 1), true).kind).toBe('refuse');
	expect(registry.observeEpoch(0 as ShardId, 1 as Epoch)).toBe(false);
});

test('a grant for an earlier sidecar instance is unknown, not refused', () => {
	const registry = createGrantRegistry({instance: 'sidecar-2' as InstanceId, maxRecords: 10});
	expect(registry.admit(createGrant(1), true).kind).toBe('unknown');
});

test('a forgotten claim of an earlier epoch that a later owner presents is unknown, not refused', () => {
	const registry = createGrantRegistry({instance: INSTANCE, maxRecords: 1});
	expect(registry.admit(createGrant(5, 1), true).kind).toBe('run');
	expect(registry.admit(createGrant(6, 1), true).kind).toBe('run');
	const inherited = {...createGrant(5, 1, true), epoch: 2 as Epoch};
	expect(registry.admit(inherited, true).kind).toBe('unknown');
});
