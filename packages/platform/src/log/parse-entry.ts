/**
Reads a log entry from its key's value.
*/
import * as z from 'zod';
import type {LogEntry} from './log-entry.js';

const entrySchema = z.object({
	index: z.number().int().positive(),
	writer: z.string(),
	commitId: z.string(),
	items: z.array(z.unknown()),
});

/** Returns the entry, or `undefined` if the value is none. The items are what the log's writers put there. */
export const parseEntry = <Item>(value: string): LogEntry<Item> | undefined => {
	try {
		return entrySchema.parse(JSON.parse(value)) as LogEntry<Item>;
	} catch {
		return undefined;
	}
};
