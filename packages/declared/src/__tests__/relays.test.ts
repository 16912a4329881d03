/**
Load: many processes that follow few readers of the platform's service, and
readers that fail in every way.
*/
import {err, ok} from 'neverthrow';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createChangePublisher} from '../create-change-publisher.js';
import {createDeclaredView} from '../create-declared-view.js';
import type {DeclarationRelay} from '../declaration-relay.js';
import type {DeclarationSource} from '../declaration-source.js';
import {followDeclarations} from '../follow-declarations.js';

const INTERVAL_MS = 700;
const SILENCE_MS = 1200;
const APPLY_MS = 2000;
const FOLLOWERS = 20;

beforeEach(() => {
	vi.useFakeTimers();
});
afterEach(() => {
	vi.useRealTimers();
});

/** A service whose one key changes when a test says so; it counts its calls. */
const createService = () => {
	const state = {revision: 1, calls: 0, isUp: true};
	const source: DeclarationSource = {
		async readChanges() {
			state.calls++;
			return state.isUp
				? ok({entries: [{key: 'k', revision: state.revision, value: `v${state.revision}`}], revision: state.revision, isWhole: true})
				: err({kind: 'unavailable', message: 'down'});
		},
	};
	return {state, source};
};

const startProcess = (service: DeclarationSource, listRelays: () => readonly DeclarationRelay[]) => {
	const view = createDeclaredView();
	const publisher = createChangePublisher<symbol>(view, INTERVAL_MS, () => 0);
	const stopping = new AbortController();
	const state = {isFrozen: false, isCutFromService: false, reachability: [] as boolean[]};
	void followDeclarations({
		view,
		service: {
			async readChanges(after) {
				while (state.isFrozen) {
					await new Promise(resolve => {
						setTimeout(resolve, 50);
					});
				}

				return state.isCutFromService ? err({kind: 'unavailable', message: 'cut off'}) : service.readChanges(after);
			},
		},
		listNeighbours: () => [],
		chooseRelay: failed => publisher.hasFollowers() ? undefined : listRelays().find(({id}) => !failed.has(id)),
		intervalMs: INTERVAL_MS,
		relaySilenceMs: SILENCE_MS,
		onOwnRead: publisher.publish,
		onNeighbourNews() {/* Nothing depends on it here. */},
		onNews() {/* Not observed. */},
		onReachable(isReachable) {
			state.reachability.push(isReachable);
		},
		signal: stopping.signal,
	});
	const relay = (id: string): DeclarationRelay => ({
		id,
		follow(after, onRead) {
			const key = Symbol('follower');
			publisher.follow(key, after, onRead);
			return {
				close() {
					publisher.remove(key);
				},
			};
		},
	});
	return {
		view, state, stopping, relay,
	};
};

const startFleet = async () => {
	const {state, source} = createService();
	const readers = [startProcess(source, () => []), startProcess(source, () => [])];
	const relays = readers.map(({relay}, index) => relay(`r${index}`));
	await vi.advanceTimersByTimeAsync(100);
	const followers = Array.from({length: FOLLOWERS}, () => startProcess(source, () => relays));
	await vi.advanceTimersByTimeAsync(5000);
	return {
		service: state,
		readers,
		followers,
		/** Changes the key and returns how many followers have the change after `ms`. */
		async change(ms: number): Promise<number> {
			state.revision++;
			await vi.advanceTimersByTimeAsync(ms);
			return followers.filter(({view}) => view.get('k')?.revision === state.revision).length;
		},
		stop() {
			for (const {stopping} of [...readers, ...followers]) {
				stopping.abort();
			}
		},
	};
};

describe('followers of relays', () => {
	it('learn each change within an interval while the calls to the service stay those of the readers', async () => {
		const fleet = await startFleet();
		const before = fleet.service.calls;
		expect(await fleet.change(INTERVAL_MS + 10)).toBe(FOLLOWERS);
		await vi.advanceTimersByTimeAsync(20_000 - INTERVAL_MS - 10);
		expect(fleet.service.calls - before).toBeLessThanOrEqual(2 * Math.ceil(20_000 / INTERVAL_MS));
		fleet.stop();
	});

	it.each([
		['freezes', 'isFrozen'], ['is cut off from the service', 'isCutFromService'],
	] as const)('have a change in force in time although their relay %s', async (_name, fault) => {
		const fleet = await startFleet();
		fleet.readers[0]!.state[fault] = true;
		expect(await fleet.change(APPLY_MS)).toBe(FOLLOWERS);
		expect(await fleet.change(APPLY_MS)).toBe(FOLLOWERS);
		fleet.readers[0]!.state[fault] = false;
		await vi.advanceTimersByTimeAsync(6000);
		expect(await fleet.change(APPLY_MS)).toBe(FOLLOWERS);
		fleet.stop();
	});

	it('go on with the last state during an outage, and notice its end', async () => {
		const fleet = await startFleet();
		fleet.service.isUp = false;
		expect(await fleet.change(10_000)).toBe(0);
		fleet.service.isUp = true;
		await vi.advanceTimersByTimeAsync(APPLY_MS);
		for (const {view, state} of fleet.followers) {
			expect(view.get('k')?.revision).toBe(fleet.service.revision);
			expect(state.reachability).toEqual([true, false, true]);
		}

		fleet.stop();
	});

	it('do not take each other\'s word for a reader\'s', async () => {
		const {state, source} = createService();
		const pair: Array<ReturnType<typeof startProcess>> = [];
		for (const other of [1, 0]) {
			pair.push(startProcess(source, () => pair[other] ? [pair[other].relay(`p${other}`)] : []));
		}

		await vi.advanceTimersByTimeAsync(5000);
		state.revision++;
		await vi.advanceTimersByTimeAsync(APPLY_MS);
		expect(pair.map(({view}) => view.get('k')?.revision)).toEqual([2, 2]);
		for (const {stopping} of pair) {
			stopping.abort();
		}
	});
});
