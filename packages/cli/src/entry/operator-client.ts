/**
The interface through which commands send requests to entries.
*/
import type {Result} from 'neverthrow';
import type * as z from 'zod';
import type {EntryError} from './entry-error.js';
import type {EntryRequest} from './entry-request.js';

export type OperatorClient = {
	readonly entries: readonly string[];
	/** Sends the request to one entry, once. */
	readonly send: <Schema extends z.ZodType>(entry: string, request: EntryRequest<Schema>) => Promise<Result<z.output<Schema>, EntryError>>;
	/** Sends an idempotent request to one entry after another until one answers. */
	readonly ask: <Schema extends z.ZodType>(request: EntryRequest<Schema>) => Promise<Result<z.output<Schema>, EntryError>>;
};
