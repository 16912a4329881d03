/**
Parses and validates a log entry from the value of its slot.
*/
import * as z from 'zod';
import type {LogEntry} from './log-entry.js';

const entrySchema = z.object({
	index: z.number().int().positive(),
	writer: z.string(),
	commitId: z.string(),
	items: z.array(z.unknown()),
});

/** Returns the entry, or `undefined` if the value is not a valid one. The items themselves are not validated. */
export const parseEntry = <Item>(value: string): LogEntry<Item> | undefined => {
	try {
		return entrySchema.parse(JSON.parse(value)) as LogEntry<Item>;
	} catch {
		return undefined;
	}
};
