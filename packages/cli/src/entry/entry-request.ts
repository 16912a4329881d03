/**
One request to an entry.
*/
import type * as z from 'zod';

/** `schema` checks the body of the answer. */
export type EntryRequest<Schema extends z.ZodType> = {
	readonly method: 'GET' | 'POST';
	/** Path and query, such as `/v1/table`. */
	readonly path: string;
	readonly body?: unknown;
	readonly schema: Schema;
};
