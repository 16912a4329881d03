/**
Load: 60 callers in a closed loop, by a simulated clock, at a service of three
upstreams. Two of them answer every call with what is no answer, after 20 ms; the
third serves in 50 ms.
*/
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type {CallHead} from '../../call/call-head.js';
import {createLoadTracker} from '../../placement/create-load-tracker.js';
import type {Route} from '../../routes/route.js';
import type {Upstream} from '../../upstreams/upstream.js';
import type {CallPlan} from '../call-plan.js';
import {chooseUpstreamForCall} from '../choose-upstream-for-call.js';
import type {GatewayContext} from '../gateway-context.js';

const CALLERS = 60;
const FAULTY_MS = 20;
const SOUND_MS = 50;
const PLAYED_MS = 10_000;

const CALL: CallHead = {
	id: 'c' as RequestId, method: 'GET', path: '/', host: 'h', headers: [],
};
const createUpstream = (id: string): Upstream => ({
	id: id as UpstreamId, service: 's', address: '10.0.0.1:1', dataCentre: 'd' as DataCentreId, slots: 6, isLeaving: false, coldMs: 0, sequence: 1, softwareVersion: '', bornAtMs: 1,
});
const UPSTREAMS = ['faulty-1', 'faulty-2', 'sound'].map(id => createUpstream(id));
const isFaultyId = (id: string): boolean => id.startsWith('faulty');

let loads: ReturnType<typeof createLoadTracker>;

beforeEach(() => {
	vi.useFakeTimers();
	loads = createLoadTracker({dataCentre: 'd' as DataCentreId, memoryTokens: () => 1000});
});

afterEach(() => {
	vi.useRealTimers();
});

const choose = (kind: Route['kind'], upstreams = UPSTREAMS) => chooseUpstreamForCall(
	{directory: {list: () => upstreams}, loads, random: () => 0.5} as unknown as GatewayContext,
	{call: CALL, route: {kind, isResumable: false, isSticky: false}, service: 's'} as unknown as CallPlan,
	() => true,
)?.upstream;

/** Returns the calls that each upstream got in each second. */
const play = async (kind: Route['kind'], isFaulty: (id: string) => boolean): Promise<Array<Map<string, number>>> => {
	const seconds: Array<Map<string, number>> = [];
	const until = Date.now() + PLAYED_MS;
	const startedAt = Date.now();
	const runCaller = (): void => {
		if (Date.now() >= until) {
			return;
		}

		const upstream = choose(kind)!;
		const second = Math.floor((Date.now() - startedAt) / 1000);
		seconds[second] ??= new Map();
		seconds[second].set(upstream.id, (seconds[second].get(upstream.id) ?? 0) + 1);
		const active = loads.beginCall(upstream, CALL);
		setTimeout(() => {
			active.end(isFaulty(upstream.id) ? 'unproven' : 'done');
			runCaller();
		}, isFaulty(upstream.id) ? FAULTY_MS : SOUND_MS);
	};

	for (let caller = 0; caller < CALLERS; caller++) {
		runCaller();
	}

	await vi.advanceTimersByTimeAsync(PLAYED_MS + 100);
	return seconds;
};

const countFaulty = (seconds: ReadonlyArray<Map<string, number>>): number[] => seconds.map(counts => [...counts].filter(([id]) => isFaultyId(id)).reduce((sum, [, count]) => sum + count, 0));

const suspend = (upstream: Upstream): void => {
	for (let count = 0; count < 3; count++) {
		loads.beginCall(upstream, CALL).end('unproven');
		vi.advanceTimersByTime(1);
	}
};

describe('upstreams whose answers are none', () => {
	// Guards against repeats that pile up: under load each failure cost a faulty upstream less than the calls that ran at the sound one.
	it('get single calls that try them, and the sound one all others', async () => {
		const perSecond = countFaulty(await play('idempotent', isFaultyId));
		// Two upstreams, each tried once in two seconds.
		expect(Math.max(...perSecond.slice(4))).toBeLessThanOrEqual(2);
	});

	it('get all calls if there are no others', async () => {
		const seconds = await play('idempotent', () => true);
		expect(Math.min(...seconds.map(counts => [...counts.values()].reduce((sum, count) => sum + count, 0)))).toBeGreaterThan(CALLERS);
	});

	it('get calls as before once one has been served', () => {
		const [first, , sound] = UPSTREAMS;
		suspend(first!);
		loads.beginCall(first!, CALL).end('done');
		expect(loads.getLoad(first!, CALL, true).trust).toBe('trusted');
		expect(loads.getLoad(sound!, CALL, true).trust).toBe('trusted');
	});

	it('are tried by calls that may be repeated before others', () => {
		const [first] = UPSTREAMS;
		suspend(first!);
		expect(loads.getLoad(first!, CALL, true).trust).toBe('suspended');
		vi.advanceTimersByTime(500);
		expect(loads.getLoad(first!, CALL, true).trust).toBe('trial');
		expect(loads.getLoad(first!, CALL, false).trust).toBe('suspended');
		vi.advanceTimersByTime(500);
		expect(loads.getLoad(first!, CALL, false).trust).toBe('trial');
		loads.beginCall(first!, CALL);
		expect(loads.getLoad(first!, CALL, true).trust).toBe('suspended');
	});

	it('count calls that ended together once', () => {
		const [first] = UPSTREAMS;
		const active = Array.from({length: 20}, () => loads.beginCall(first!, CALL));
		vi.advanceTimersByTime(10);
		for (const call of active) {
			call.end('unproven');
		}

		expect(loads.getLoad(first!, CALL, true).trust).toBe('trusted');
	});

	it('are judged by nothing that a caller who left has seen', () => {
		const [first] = UPSTREAMS;
		suspend(first!);
		loads.beginCall(first!, CALL).end('left');
		expect(loads.getLoad(first!, CALL, true).trust).toBe('suspended');
	});
});
