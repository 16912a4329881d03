/**
Parses and validates the response of an entry.
*/
import {
	err, fromThrowable, ok, type Result,
} from 'neverthrow';
import type * as z from 'zod';
import type {EntryError} from './entry-error.js';
import {RefusalBodySchema} from './refusal-body-schema.js';

const parseJson = fromThrowable((text: string): unknown => JSON.parse(text));

/** A response that neither matches `schema` nor is a refusal counts as lost. */
export const parseResponse = <Schema extends z.ZodType>(entry: string, status: number, text: string, schema: Schema): Result<z.output<Schema>, EntryError> => {
	const body = parseJson(text).unwrapOr(undefined);
	if (status < 300) {
		const parsed = schema.safeParse(body);
		return parsed.success
			? ok(parsed.data)
			: err({kind: 'lost', message: `${entry} answered with a body that this version of siskinhub does not understand`});
	}

	const refusal = RefusalBodySchema.safeParse(body);
	return refusal.success
		? err({kind: 'refused', status, refusal: refusal.data})
		: err({kind: 'lost', message: `${entry} answered with status ${status} and no reason`});
};
