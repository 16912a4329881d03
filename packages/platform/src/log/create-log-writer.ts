/**
Commits batches of appends to a log, one write at a time, and keeps its
snapshot far enough for the next slot to be written.
*/
import {err, ok} from 'neverthrow';
import type {PlatformError} from '../platform-error.js';
import {createBackoff} from './create-backoff.js';
import type {createPendingAppend} from './create-pending-append.js';
import {createSizeGuard} from './create-size-guard.js';
import type {LogEntry} from './log-entry.js';
import type {LogLayout} from './log-layout.js';
import type {LogOptions} from './log-options.js';
import type {LogView} from './log-view.js';
import {makeRoom} from './make-room.js';
import {readNewEntries} from './read-new-entries.js';
import {selectBatch} from './select-batch.js';
import {writeEntry} from './write-entry.js';
import {writeSnapshot} from './write-snapshot.js';

const DEFAULT_MAX_STATE_BYTES = 900_000;

type Pending<Item, Rejection> = ReturnType<typeof createPendingAppend<Item, Rejection>>;

type LogWriter<Item, Rejection> = {
	/** Commits a batch; every append of it is settled afterwards. */
	readonly commit: (batch: ReadonlyArray<Pending<Item, Rejection>>) => Promise<void>;
	/** Folds entries of other writers. */
	readonly catchUp: () => Promise<PlatformError | undefined>;
	/** Folds the whole log in one read. */
	readonly load: () => Promise<PlatformError | undefined>;
	readonly isFenced: () => boolean;
};

type WriterOptions<Item, State, Rejection> = LogOptions<Item, State, Rejection> & {
	readonly layout: LogLayout;
	readonly view: LogView<Item, State>;
	readonly isClosed: () => boolean;
};

/** Creates the writer; its functions must not run at the same time. */
export const createLogWriter = <Item, State, Rejection>(options: WriterOptions<Item, State, Rejection>): LogWriter<Item, Rejection> => {
	const {client, layout, view, isClosed, maxStateBytes = DEFAULT_MAX_STATE_BYTES} = options;
	const guard = createSizeGuard<State>(maxStateBytes);
	let isFenced = false;
	let isLoaded = false;

	const applyForeign = (entry: LogEntry<Item>, version: number) => {
		view.applyEntry(entry, version);
		guard.add(JSON.stringify(entry.items).length);
		isFenced ||= options.mode === 'exclusive';
	};

	const load = async () => {
		const before = view.index();
		const records = await client.list(layout.prefix);
		const loaded = records.andThen(found => view.load(found));
		guard.measure(view.state());
		isFenced ||= isLoaded && view.index() > before && options.mode === 'exclusive';
		isLoaded ||= loaded.isOk();
		return loaded.isErr() ? loaded.error : undefined;
	};

	const loadUntilDone = async () => {
		const wait = createBackoff();
		while (!isClosed() && await load()) {
			await wait();
		}
	};

	const settleAll = (appends: ReadonlyArray<Pending<Item, Rejection>>, outcome: {readonly index: number} | 'fenced' | 'expired') => {
		for (const append of appends) {
			if (outcome === 'expired') {
				append.expire();
			} else {
				append.settle(outcome === 'fenced' ? err({kind: 'fenced'}) : ok(outcome));
			}
		}
	};

	const setInDoubt = (appends: ReadonlyArray<Pending<Item, Rejection>>, inDoubt: boolean) => {
		for (const append of appends) {
			append.setInDoubt(inDoubt);
		}
	};

	const writeItems = async (index: number, items: readonly Item[]) => {
		const entry = {
			index, writer: options.writer, commitId: options.createCommitId(), items,
		};
		const outcome = await writeEntry({
			client, key: layout.slotKey(index), entry, expectedVersion: view.slotVersion(index), isClosed,
		});
		if (outcome.kind === 'committed') {
			view.applyEntry(entry, outcome.version);
		}

		return outcome;
	};

	/** Writes one entry; returns whether what is left of the batch should be tried at a later index. */
	const writeBatch = async (batch: ReadonlyArray<Pending<Item, Rejection>>): Promise<boolean> => {
		const index = view.index() + 1;
		const {appends, items} = selectBatch(batch, {
			...options, state: view.state(), index, guard,
		});
		if (appends.length === 0) {
			return false;
		}

		setInDoubt(appends, true);
		const outcome = await writeItems(index, items);
		if (outcome.kind === 'committed') {
			settleAll(appends, {index});
			return false;
		}

		if (outcome.kind === 'closed' || (outcome.kind === 'passed' && outcome.mayStand)) {
			settleAll(appends, 'expired');
			isFenced ||= outcome.kind === 'passed' && options.mode === 'exclusive';
			return false;
		}

		setInDoubt(appends, false);
		if (outcome.kind === 'taken') {
			applyForeign(outcome.entry, outcome.version);
		} else {
			await loadUntilDone();
		}

		return !isFenced;
	};

	return {
		async commit(batch) {
			const isAbandoned = () => isClosed() || batch.every(append => append.isSettled());
			let isPending = !isFenced;
			while (isPending) {
				isPending = await makeRoom({
					client, layout, view, isAbandoned,
				}) && await writeBatch(batch);
			}

			settleAll(batch.filter(append => !append.isSettled()), isFenced ? 'fenced' : 'expired');
			if (view.isHalfFull() && !isFenced && !isClosed()) {
				await writeSnapshot({client, layout, view});
			}
		},
		async catchUp() {
			const read = await readNewEntries<Item>({
				client, layout, index: view.index, applyEntry: applyForeign,
			});
			if (read.isErr()) {
				return read.error;
			}

			return read.value === 'passed' ? load() : undefined;
		},
		load,
		isFenced: () => isFenced,
	};
};
