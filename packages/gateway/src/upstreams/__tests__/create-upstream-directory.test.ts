import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createUpstreamDirectory} from '../create-upstream-directory.js';
import type {Upstream} from '../upstream.js';

const upstream = (changes: Partial<Upstream> = {}): Upstream => ({
	id: 'u1' as UpstreamId, service: 's', address: '10.0.0.1:1', dataCentre: 'd' as DataCentreId, softwareVersion: '', slots: 4, isLeaving: false, coldMs: 0, sequence: 1, bornAtMs: 10, ...changes,
});

describe('createUpstreamDirectory', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	it('does not list a leaving upstream, even after a late or newer report that it is not leaving', () => {
		const directory = createUpstreamDirectory({graceUntil: () => 0});
		directory.update(upstream({sequence: 5, isLeaving: true}));
		directory.update(upstream({sequence: 4}));
		directory.update(upstream({sequence: 6}));
		expect(directory.list('s')).toEqual([]);
	});

	it('does not list an upstream that said itself that it is leaving, whatever its entry says later', () => {
		const directory = createUpstreamDirectory({graceUntil: () => 0});
		directory.update(upstream());
		expect(directory.markLeaving(upstream())).toBe(true);
		expect(directory.markLeaving(upstream())).toBe(false);
		expect(directory.list('s')).toEqual([]);
		directory.update(upstream({sequence: 2}));
		expect(directory.list('s')).toEqual([]);
		directory.remove('u1');
		directory.update(upstream({sequence: 3}));
		expect(directory.list('s')).toEqual([]);
	});

	it('keeps what one start of an upstream said of itself from the next one', () => {
		const directory = createUpstreamDirectory({graceUntil: () => 0});
		directory.update(upstream());
		directory.update(upstream({bornAtMs: 20, sequence: 0}));
		directory.markLeaving(upstream());
		expect(directory.list('s').length).toBe(1);
		directory.markLeaving(upstream({bornAtMs: 20}));
		expect(directory.list('s')).toEqual([]);
		directory.update(upstream({bornAtMs: 30, sequence: 0}));
		expect(directory.list('s').length).toBe(1);
	});

	it('removes an upstream at once that said that it is leaving, also after an outage', () => {
		const graceUntil = Date.now() + 2000;
		const directory = createUpstreamDirectory({graceUntil: () => graceUntil});
		directory.update(upstream());
		directory.markLeaving(upstream());
		directory.remove('u1');
		expect(directory.get('u1')).toBeUndefined();
	});

	it('lists a leaving upstream again after a restart under the same id', () => {
		const directory = createUpstreamDirectory({graceUntil: () => 0});
		directory.update(upstream({sequence: 5, isLeaving: true}));
		directory.update(upstream({sequence: 0, bornAtMs: 20}));
		expect(directory.list('s').length).toBe(1);
	});

	it('removes an upstream at once without a grace period', () => {
		const directory = createUpstreamDirectory({graceUntil: () => 0});
		directory.update(upstream());
		directory.remove('u1');
		expect(directory.list('s')).toEqual([]);
	});

	it('delays removals after an outage and drops them if the entry returns', () => {
		const graceUntil = Date.now() + 2000;
		const directory = createUpstreamDirectory({graceUntil: () => graceUntil});
		directory.update(upstream());
		directory.update(upstream({id: 'u2' as UpstreamId}));
		directory.remove('u1');
		directory.remove('u2');
		vi.advanceTimersByTime(1000);
		directory.update(upstream({sequence: 2}));
		expect(directory.list('s').length).toBe(2);
		vi.advanceTimersByTime(1500);
		expect(directory.list('s').map(({id}) => id)).toEqual(['u1']);
	});

	it('removes a leaving upstream at once even during the grace period', () => {
		const directory = createUpstreamDirectory({graceUntil: () => Date.now() + 2000});
		const removed: string[] = [];
		directory.onEnd(({id}) => removed.push(id));
		directory.update(upstream({isLeaving: true}));
		directory.remove('u1');
		expect(removed).toEqual(['u1']);
	});

	it('tells the end of a start when the entry of a newer one replaces it, and once only', () => {
		const directory = createUpstreamDirectory({graceUntil: () => 0});
		const ended: number[] = [];
		directory.onEnd(({bornAtMs}) => ended.push(bornAtMs));
		directory.update(upstream({bornAtMs: 10}));
		directory.update(upstream({bornAtMs: 10, sequence: 2}));
		directory.update(upstream({bornAtMs: 20}));
		directory.update(upstream({bornAtMs: 10, sequence: 3}));
		directory.remove('u1');
		expect(ended).toEqual([10, 20]);
	});
});
