import {ok} from 'neverthrow';
import {
	afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import {createFaultyClient} from '../log/__tests__/create-faulty-client.js';
import {openLog} from '../open-log.js';
import {unwrap} from './unwrap.js';

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

const openHealthyLog = async (maxStateBytes = 900_000) => {
	const {client, calls} = createFaultyClient([]);
	let commits = 0;
	const opening = openLog<string, readonly string[]>({
		client,
		log: 'test',
		writer: 'w',
		createCommitId: () => `c${commits++}`,
		mode: 'shared',
		initialState: [],
		fold: (state, item) => [...state, item],
		commitWindowMs: 10,
		maxStateBytes,
	});
	await vi.advanceTimersByTimeAsync(100);
	return {calls, log: await unwrap(opening)};
};

test('concurrent appends share one write, and an idle log makes no calls', async () => {
	const {calls, log} = await openHealthyLog();
	const callsBefore = calls();
	const appends = Array.from({length: 100}, async (_, number) => log.append(String(number)));
	await vi.advanceTimersByTimeAsync(60_000);
	expect(await Promise.all(appends)).toEqual(appends.map(() => ok({index: 1})));
	expect(calls() - callsBefore).toBe(1);
});

test('an item that would make the state too large for its snapshot is refused', async () => {
	const {log} = await openHealthyLog(1000);
	const appends = Array.from({length: 3}, async () => log.append('x'.repeat(400)));
	await vi.advanceTimersByTimeAsync(100);
	expect(await Promise.all(appends)).toMatchObject([{value: {index: 1}}, {value: {index: 1}}, {error: {kind: 'too-large'}}]);
});

test('on close, queued appends fail immediately, and so do later ones', async () => {
	const {log} = await openHealthyLog();
	const pending = log.append('a');
	log.close();
	const late = await log.append('b');
	expect(late).toMatchObject({error: {kind: 'unavailable', fate: 'not-written'}});
	expect(await pending).toMatchObject({error: {kind: 'unavailable', fate: 'not-written'}});
});
