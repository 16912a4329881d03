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
import {parseEntry} from './parse-entry.js';
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

	const needsSnapshot = () => view.index() + 1 - layout.slotCount > view.snapshot().through;

	/** Makes the next slot's present entry part of the snapshot; gives up when nobody waits any more. */
	const makeRoom = async (batch: ReadonlyArray<Pending<Item, Rejection>>) => {
		const wait = createBackoff();
		while (needsSnapshot() && !isClosed() && batch.some(append => !append.isSettled())) {
			await writeSnapshot({client, layout, view});
			if (needsSnapshot()) {
				await wait();
			}
		}
	};

	const settleAll = (batch: ReadonlyArray<Pending<Item, Rejection>>, kind: 'fenced' | 'expired') => {
		for (const append of batch) {
			if (kind === 'fenced') {
				append.settle(err({kind: 'fenced'}));
			} else {
				append.expire();
			}
		}
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

		for (const append of appends) {
			append.setInDoubt(true);
		}

		const entry = {
			index, writer: options.writer, commitId: options.createCommitId(), items,
		};
		const outcome = await writeEntry({
			client, key: layout.slotKey(index), entry, expectedVersion: view.slotVersion(index), isClosed,
		});
		if (outcome.kind === 'committed') {
			view.applyEntry(entry, outcome.version);
			for (const append of appends) {
				append.settle(ok({index}));
			}

			return false;
		}

		if (outcome.kind === 'closed' || (outcome.kind === 'passed' && outcome.mayStand)) {
			settleAll(appends, 'expired');
			isFenced ||= outcome.kind === 'passed' && options.mode === 'exclusive';
			return false;
		}

		for (const append of appends) {
			append.setInDoubt(false);
		}

		if (outcome.kind === 'taken') {
			applyForeign(outcome.entry, outcome.version);
		} else {
			await loadUntilDone();
		}

		return !isFenced;
	};

	const isFull = () => view.index() - view.snapshot().through >= layout.slotCount / 2;

	return {
		async commit(batch) {
			let isPending = !isFenced;
			while (isPending) {
				await makeRoom(batch);
				isPending = !needsSnapshot() && await writeBatch(batch);
			}

			settleAll(batch.filter(append => !append.isSettled()), isFenced ? 'fenced' : 'expired');
			if (isFull() && !isFenced && !isClosed()) {
				await writeSnapshot({client, layout, view});
			}
		},
		async catchUp() {
			for (;;) {
				const index = view.index() + 1;
				const answer = await client.get(layout.slotKey(index));
				if (answer.isErr()) {
					return answer.error;
				}

				const stored = answer.value;
				const entry = stored && parseEntry<Item>(stored.value);
				if (!stored || (entry && entry.index < index)) {
					return undefined;
				}

				if (entry?.index !== index) {
					return load();
				}

				applyForeign(entry, stored.version);
			}
		},
		load,
		isFenced: () => isFenced,
	};
};
