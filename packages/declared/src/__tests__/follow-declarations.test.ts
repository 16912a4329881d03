import {err, ok} from 'neverthrow';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createDeclaredView} from '../create-declared-view.js';
import type {DeclarationSource} from '../declaration-source.js';
import {followDeclarations} from '../follow-declarations.js';

const INTERVAL_MS = 600;

const createSource = (answers: Array<Awaited<ReturnType<DeclarationSource['readChanges']>>>) => {
	const requestedRevisions: number[] = [];
	const source: DeclarationSource = {
		async readChanges(after) {
			requestedRevisions.push(after);
			return answers.shift() ?? err({kind: 'unavailable', message: 'silent'});
		},
	};
	return {source, requestedRevisions};
};

describe('followDeclarations', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	const follow = (service: DeclarationSource, neighbours: readonly DeclarationSource[]) => {
		const view = createDeclaredView();
		const stopping = new AbortController();
		const reachability: boolean[] = [];
		void followDeclarations({
			view, service, listNeighbours: () => neighbours, chooseRelay: () => undefined, intervalMs: INTERVAL_MS, relaySilenceMs: INTERVAL_MS * 2, onOwnRead() {/* Nobody follows. */}, onNeighbourNews() {/* Nothing depends on it here. */},
			onNews() {/* Not observed. */}, signal: stopping.signal, onReachable(isReachable) {
				reachability.push(isReachable);
			},
		});
		return {view, stopping, reachability};
	};

	it('reads the whole state again if the history is compacted', async () => {
		const {source, requestedRevisions} = createSource([
			ok({entries: [{key: 'a', revision: 1, value: 'x'}], revision: 1, isWhole: true}),
			err({kind: 'compacted', message: 'gone'}),
			ok({entries: [{key: 'b', revision: 9, value: 'y'}], revision: 9, isWhole: true}),
		]);
		const {view, stopping} = follow(source, []);
		await vi.advanceTimersByTimeAsync(INTERVAL_MS * 1.5);
		stopping.abort();
		expect(requestedRevisions).toEqual([0, 1, 0]);
		expect(view.get('a')?.value).toBeUndefined();
		expect(view.get('b')?.value).toBe('y');
	});

	it('reads from a neighbour while the service does not answer', async () => {
		const {source} = createSource([]);
		const neighbour = createSource([ok({entries: [{key: 'a', revision: 4, value: 'x'}], revision: 4, isWhole: true})]);
		const {view, stopping, reachability} = follow(source, [neighbour.source]);
		await vi.advanceTimersByTimeAsync(10);
		stopping.abort();
		expect(view.get('a')?.value).toBe('x');
		expect(reachability).toEqual([false]);
	});

	it('calls the service once per interval, however much changes', async () => {
		const {source, requestedRevisions} = createSource(Array.from({length: 20}, (_, index) => ok({entries: [], revision: index + 1, isWhole: false})));
		const {stopping} = follow(source, []);
		await vi.advanceTimersByTimeAsync(INTERVAL_MS * 10.5);
		stopping.abort();
		expect(requestedRevisions.length).toBe(11);
	});
});
