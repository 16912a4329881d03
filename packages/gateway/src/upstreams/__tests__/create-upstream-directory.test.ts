import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createUpstreamDirectory} from '../create-upstream-directory.js';
import type {Upstream} from '../upstream.js';

const upstream = (changes: Partial<Upstream> = {}): Upstream => ({
	id: 'u1' as UpstreamId, service: 's', address: '10.0.0.1:1', dataCentre: 'd' as DataCentreId, slots: 4, isLeaving: false, coldMs: 0, sequence: 1, bornAtMs: 10, ...changes,
});

describe('createUpstreamDirectory', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	it('lists no upstream that is leaving, even if an older report comes late', () => {
		const directory = createUpstreamDirectory({graceUntil: () => 0});
		directory.update(upstream({sequence: 5, isLeaving: true}));
		directory.update(upstream({sequence: 4}));
		directory.update(upstream({sequence: 6}));
		expect(directory.list('s')).toEqual([]);
	});

	it('lists it again after a new start under the same id', () => {
		const directory = createUpstreamDirectory({graceUntil: () => 0});
		directory.update(upstream({sequence: 5, isLeaving: true}));
		directory.update(upstream({sequence: 0, bornAtMs: 20}));
		expect(directory.list('s').length).toBe(1);
	});

	it('drops a removed upstream at once', () => {
		const directory = createUpstreamDirectory({graceUntil: () => 0});
		directory.update(upstream());
		directory.remove('u1');
		expect(directory.list('s')).toEqual([]);
	});

	it('holds a removal back after an outage, until the entry is due to be listed again', () => {
		const until = Date.now() + 2000;
		const directory = createUpstreamDirectory({graceUntil: () => until});
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

	it('drops a leaving upstream at once even after an outage', () => {
		const directory = createUpstreamDirectory({graceUntil: () => Date.now() + 2000});
		const gone: string[] = [];
		directory.onGone(({id}) => gone.push(id));
		directory.update(upstream({isLeaving: true}));
		directory.remove('u1');
		expect(gone).toEqual(['u1']);
	});
});
