/**
Commits batches of appends to a log, one write at a time, and updates the
snapshot before a slot that it does not cover would be overwritten.
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
import {freeNextSlot} from './free-next-slot.js';
import {readNewEntries} from './read-new-entries.js';
import {selectBatch} from './select-batch.js';
import {writeEntry} from './write-entry.js';
import {writeSnapshot} from './write-snapshot.js';

const DEFAULT_MAX_STATE_BYTES = 900_000;

type PendingAppend<Item, Rejection> = ReturnType<typeof createPendingAppend<Item, Rejection>>;

type LogWriter<Item, Rejection> = {
	/** Commits a batch. When the promise resolves, every append of the batch is settled. */
	readonly commit: (batch: ReadonlyArray<PendingAppend<Item, Rejection>>) => Promise<void>;
	/** Reads and folds the entries that other writers have added; resolves with the error if that fails. */
	readonly catchUp: () => Promise<PlatformError | undefined>;
	/** Reads all keys of the log in one call and folds them; resolves with the error if that fails. */
	readonly load: () => Promise<PlatformError | undefined>;
	/** Whether another writer has taken over the exclusive log. */
	readonly isFenced: () => boolean;
};

type WriterOptions<Item, State, Rejection> = LogOptions<Item, State, Rejection> & {
	readonly layout: LogLayout;
	readonly view: LogView<Item, State>;
	readonly isClosed: () => boolean;
};

/** Creates the writer. `commit`, `catchUp` and `load` must not run concurrently. */
export const createLogWriter = <Item, State, Rejection>(options: WriterOptions<Item, State, Rejection>): LogWriter<Item, Rejection> => {
	const {client, layout, view, isClosed, maxStateBytes = DEFAULT_MAX_STATE_BYTES} = options;
	const sizeGuard = createSizeGuard<State>(maxStateBytes);
	let isFenced = false;
	let isLoaded = false;

	const applyOthersEntry = (entry: LogEntry<Item>, version: number) => {
		view.applyEntry(entry, version);
		sizeGuard.addItemBytes(JSON.stringify(entry.items).length);
		isFenced ||= options.mode === 'exclusive';
	};

	const load = async () => {
		const before = view.index();
		const records = await client.list(layout.prefix);
		const loaded = records.andThen(found => view.load(found));
		sizeGuard.measureState(view.state());
		isFenced ||= isLoaded && view.index() > before && options.mode === 'exclusive';
		isLoaded ||= loaded.isOk();
		return loaded.isErr() ? loaded.error : undefined;
	};

	/** Loads the log, with backoff, until it succeeds or the log is closed. */
	const loadWithRetry = async () => {
		const waitBeforeRetry = createBackoff();
		while (!isClosed() && await load()) {
			await waitBeforeRetry();
		}
	};

	const settleAll = (appends: ReadonlyArray<PendingAppend<Item, Rejection>>, outcome: {readonly index: number} | 'fenced' | 'expired') => {
		for (const append of appends) {
			if (outcome === 'expired') {
				append.expire();
			} else {
				append.settle(outcome === 'fenced' ? err({kind: 'fenced'}) : ok(outcome));
			}
		}
	};

	const setInDoubt = (appends: ReadonlyArray<PendingAppend<Item, Rejection>>, inDoubt: boolean) => {
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

	/** Writes the batch as one entry; returns whether the unsettled appends should be retried at a later index. */
	const writeBatch = async (batch: ReadonlyArray<PendingAppend<Item, Rejection>>): Promise<boolean> => {
		const index = view.index() + 1;
		const {appends, items} = selectBatch(batch, {
			...options, state: view.state(), index, sizeGuard,
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

		// It stays unknown whether the entry was written, so the appends must not be retried.
		if (outcome.kind === 'closed' || (outcome.kind === 'passed' && outcome.mayHaveCommitted)) {
			settleAll(appends, 'expired');
			isFenced ||= outcome.kind === 'passed' && options.mode === 'exclusive';
			return false;
		}

		setInDoubt(appends, false);
		if (outcome.kind === 'taken') {
			applyOthersEntry(outcome.entry, outcome.version);
		} else {
			await loadWithRetry();
		}

		return !isFenced;
	};

	return {
		async commit(batch) {
			const isAbandoned = () => isClosed() || batch.every(append => append.isSettled());
			let isPending = !isFenced;
			while (isPending) {
				isPending = await freeNextSlot({
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
				client, layout, index: view.index, applyEntry: applyOthersEntry,
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
