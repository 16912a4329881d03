/**
Maintains one process's local view of a log: the state folded from its entries,
and the versions of its keys that the next compare-and-swap expects. Performs no
I/O.
*/
import {err, ok} from 'neverthrow';
import type {KeyValue} from '../key-value.js';
import type {PlatformError} from '../platform-error.js';
import type {LogEntry} from './log-entry.js';
import type {LogLayout} from './log-layout.js';
import type {LogView} from './log-view.js';
import {parseEntry} from './parse-entry.js';
import {parseSnapshot} from './parse-snapshot.js';

type LogViewOptions<Item, State> = {
	readonly layout: LogLayout;
	readonly initialState: State;
	readonly fold: (state: State, item: Item, index: number) => State;
};

/** Creates the view of an empty log. `fold` must be pure. */
export const createLogView = <Item, State>({layout, initialState, fold}: LogViewOptions<Item, State>): LogView<Item, State> => {
	const slotVersions = new Map<string, number>();
	let index = 0;
	let state = initialState;
	let snapshot = {through: 0, version: 0};

	const malformed = (key: string) => err<void, PlatformError>({
		kind: 'malformed',
		message: `${key} is not as this log's writers left it; restore the platform's keys under ${layout.prefix}.`,
	});

	const applyEntry = (entry: LogEntry<Item>, version: number) => {
		if (entry.index !== index + 1) {
			throw new Error(`log entry ${entry.index} does not follow entry ${index}`);
		}

		index = entry.index;
		slotVersions.set(layout.slotKey(index), version);
		for (const item of entry.items) {
			state = fold(state, item, index);
		}
	};

	const loadSnapshot = ({value, version}: KeyValue) => {
		const stored = parseSnapshot<State>(value);
		if (!stored) {
			return malformed(layout.snapshotKey);
		}

		snapshot = {through: stored.through, version};
		if (stored.through > index) {
			({through: index, state} = stored);
		}

		return ok();
	};

	const loadEntries = (records: readonly KeyValue[]) => {
		const entries = new Map<number, {readonly entry: LogEntry<Item>; readonly version: number}>();
		for (const {key, value, version} of records) {
			const entry = parseEntry<Item>(value);
			if (!entry || layout.slotKey(entry.index) !== key) {
				return malformed(key);
			}

			slotVersions.set(key, version);
			entries.set(entry.index, {entry, version});
		}

		// Slots may still hold entries that the snapshot or the state already contains; they are skipped.
		for (let next = entries.get(index + 1); next; next = entries.get(index + 1)) {
			applyEntry(next.entry, next.version);
		}

		// An entry beyond the folded ones means that one between them is missing.
		const lastIndex = Math.max(index, ...entries.keys());
		return lastIndex === index ? ok() : malformed(layout.slotKey(index + 1));
	};

	return {
		index: () => index,
		state: () => state,
		snapshot: () => snapshot,
		needsSnapshot: () => index + 1 - layout.slotCount > snapshot.through,
		isHalfFull: () => index - snapshot.through >= layout.slotCount / 2,
		slotVersion: entryIndex => slotVersions.get(layout.slotKey(entryIndex)) ?? 0,
		applyEntry,
		setSnapshot(metadata) {
			snapshot = metadata;
		},
		load(records) {
			const stored = records.find(({key}) => key === layout.snapshotKey);
			return (stored ? loadSnapshot(stored) : ok<void, PlatformError>())
				.andThen(() => loadEntries(records.filter(({key}) => key !== layout.snapshotKey)));
		},
	};
};
