/**
Reads the entries that other writers have added since the last known one, with
one call to the platform's service for each slot.
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
	/** Index of the last known entry. */
	readonly index: () => number;
	/** Folds the next entry and so increments `index()`. */
	readonly applyEntry: (entry: LogEntry<Item>, version: number) => void;
};

/** Returns `current` at the end of the log, or `passed` if the next slot is invalid or holds an entry of a later pass through the ring, so that the whole log must be read. */
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
