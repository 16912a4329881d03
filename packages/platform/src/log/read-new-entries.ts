/**
Reads the entries that others wrote after the last one known, one slot a call.
*/
import {err, ok, type Result} from 'neverthrow';
import type {PlatformClient} from '../platform-client.js';
import type {PlatformError} from '../platform-error.js';
import type {LogEntry} from './log-entry.js';
import type {LogLayout} from './log-layout.js';
import {parseEntry} from './parse-entry.js';

type NewEntriesRequest<Item> = {
	readonly client: PlatformClient;
	readonly layout: LogLayout;
	/** Index of the last entry known. */
	readonly index: () => number;
	/** Folds the next entry; raises `index()`. */
	readonly applyEntry: (entry: LogEntry<Item>, version: number) => void;
};

/** Returns `current` at the log's end, or `passed` if the next slot holds a later lap and the log must be read whole. */
export const readNewEntries = async <Item>({client, layout, index, applyEntry}: NewEntriesRequest<Item>): Promise<Result<'current' | 'passed', PlatformError>> => {
	for (;;) {
		const next = index() + 1;
		const answer = await client.get(layout.slotKey(next));
		if (answer.isErr()) {
			return err(answer.error);
		}

		const stored = answer.value;
		const entry = stored && parseEntry<Item>(stored.value);
		if (!stored || (entry && entry.index < next)) {
			return ok('current');
		}

		if (entry?.index !== next) {
			return ok('passed');
		}

		applyEntry(entry, stored.version);
	}
};
