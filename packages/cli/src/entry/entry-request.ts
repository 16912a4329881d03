/**
A request to an entry, with the schema of its response.
*/
import type * as z from 'zod';

/** `schema` validates the body of the response. */
export type EntryRequest<Schema extends z.ZodType> = {
	readonly method: 'GET' | 'POST';
	/** Path and query, such as `/v1/table`. */
	readonly path: string;
	readonly body?: unknown;
	readonly schema: Schema;
};
