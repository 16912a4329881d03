import {fc, test} from '@fast-check/vitest';
import {ok, err, type Result} from 'neverthrow';
import {
	afterEach, beforeEach, describe, expect, vi,
} from 'vitest';
import {callFaults} from '../log/__tests__/call-faults.js';
import {createFaultyClient} from '../log/__tests__/create-faulty-client.js';
import {openLog} from '../open-log.js';
import type {ReplicatedLog} from '../replicated-log.js';
import {unwrap} from './unwrap.js';

type Item = {
	readonly id: string;
	readonly writer: string;
	/** `prepare` accepts at most one item of each name. */
	readonly name?: string;
};
type State = ReadonlyArray<Item & {readonly index: number}>;
type Log = ReplicatedLog<Item, State, 'name-taken'>;
type Fault = Parameters<typeof createFaultyClient>[0][number];
type Outcome = {readonly item: Item; readonly result: Awaited<ReturnType<Log['append']>>};

const SLOT_COUNT = 4;
const APPEND_TIMEOUT_MS = 3000;
// Longer than all timeouts and retries, so that every operation has ended.
const QUIET_PERIOD_MS = 60_000;

// Hundreds of scenarios must also finish on a busy machine.
const PROPERTY_TEST_TIMEOUT_MS = 120_000;

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

const createTestContext = (mode: 'exclusive' | 'shared', faults: readonly Fault[]) => {
	const {client, stopFaults} = createFaultyClient(faults);
	const outcomes: Outcome[] = [];
	let commits = 0;
	const open = async (writer: string): Promise<Result<Log, unknown>> => openLog<Item, State, 'name-taken'>({
		client,
		log: 'test',
		writer,
		createCommitId: () => `c${commits++}`,
		mode,
		initialState: [],
		fold: (state, item, index) => [...state, {...item, index}],
		prepare: (item, state) => item.name !== undefined && state.some(({name}) => name === item.name) ? err('name-taken') : ok(item),
		commitWindowMs: 10,
		appendTimeoutMs: APPEND_TIMEOUT_MS,
		slotCount: SLOT_COUNT,
	});
	return {
		open,
		outcomes,
		async append(log: Log, item: Item) {
			outcomes.push({item, result: await log.append(item)});
		},
		async settle() {
			stopFaults();
			await vi.advanceTimersByTimeAsync(QUIET_PERIOD_MS);
			const reader = open('reader');
			await vi.advanceTimersByTimeAsync(1000);
			return unwrap(reader);
		},
	};
};

const step = fc.record({
	writer: fc.integer({min: 0, max: 2}),
	kind: fc.constantFrom('append', 'append', 'append', 'append', 'append', 'append', 'open', 'refresh'),
	waitMs: fc.oneof(fc.constant(0), fc.integer({min: 50, max: 400})),
});
const scenario = {
	faults: callFaults,
	steps: fc.array(step, {minLength: 30, maxLength: 80}),
};

/** Runs the steps. Whoever opens an exclusive log first appends a takeover item, as the owner of a shard does. */
const runScenario = async (mode: 'exclusive' | 'shared', {faults, steps}: {faults: readonly Fault[]; steps: ReadonlyArray<{writer: number; kind: string; waitMs: number}>}) => {
	const context = createTestContext(mode, faults);
	const current = new Map<number, {readonly log: Log; readonly instance: string}>();
	const all: Log[] = [];

	const openAs = async (writer: number, instance: string) => {
		const opened = await context.open(instance);
		if (opened.isErr()) {
			return;
		}

		const log = opened.value;
		all.push(log);
		if (mode === 'exclusive') {
			await context.append(log, {id: `takeover-${instance}`, writer: instance});
		}

		current.set(writer, {log, instance});
	};

	for (const [number, {writer, kind, waitMs}] of steps.entries()) {
		const opened = current.get(writer);
		if (kind === 'open' || !opened) {
			void openAs(writer, `w${writer}-${number}`);
		} else if (kind === 'refresh') {
			void opened.log.refresh();
		} else {
			void context.append(opened.log, {id: `i${number}`, writer: opened.instance, ...(number % 3 === 0 && {name: `n${number % 7}`})});
		}

		await vi.advanceTimersByTimeAsync(waitMs);
	}

	const reader = await context.settle();
	return {reader, outcomes: context.outcomes, logs: all};
};

const checkOutcomes = (final: State, outcomes: readonly Outcome[]) => {
	const byId = new Map(final.map(item => [item.id, item]));
	const names = final.flatMap(({name}) => name ?? []);
	expect(byId.size, 'each item at most once').toBe(final.length);
	expect(new Set(names).size, 'each name at most once').toBe(names.length);
	for (const {item, result} of outcomes) {
		if (result.isOk()) {
			expect(byId.get(item.id)?.index, `${item.id} has the index that its append returned`).toBe(result.value.index);
		} else if (result.error.kind !== 'unavailable' || result.error.fate === 'not-written') {
			expect(byId.has(item.id), `${item.id} was refused but is in the log`).toBe(false);
		}
	}
};

const checkViews = (final: State, logs: readonly Log[]) => {
	for (const log of logs) {
		expect(log.state(), 'each view is a prefix of the log').toEqual(final.slice(0, log.state().length));
	}
};

/** Checks that the items of each writer are contiguous: once another has written, a writer never commits again. */
const checkWriterOrder = (final: State) => {
	const owners = final.map(({writer}) => writer).filter((writer, position, writers) => writer !== writers[position - 1]);
	expect(owners).toEqual([...new Set(owners)]);
};

describe('under outages, lost and late responses, pauses and compaction', () => {
	test.prop(scenario, {numRuns: 300})('a shared log commits every item at most once and in one order', async ({faults, steps}) => {
		const {reader, outcomes, logs} = await runScenario('shared', {faults, steps});
		checkOutcomes(reader.state(), outcomes);
		checkViews(reader.state(), logs);
	}, PROPERTY_TEST_TIMEOUT_MS);

	test.prop(scenario, {numRuns: 300})('a fenced writer of an exclusive log never commits', async ({faults, steps}) => {
		const {reader, outcomes, logs} = await runScenario('exclusive', {faults, steps});
		checkOutcomes(reader.state(), outcomes);
		checkViews(reader.state(), logs);
		checkWriterOrder(reader.state());
	}, PROPERTY_TEST_TIMEOUT_MS);
});
