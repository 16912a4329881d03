/**
Parses JSON text and validates it against a schema.
*/
import {
	err, fromThrowable, ok, type Result,
} from 'neverthrow';
import type * as z from 'zod';

/** The error says what is wrong with `text`. */
export const parseJsonAs = <Schema extends z.ZodType>(text: string, schema: Schema): Result<z.output<Schema>, string> => {
	const value = fromThrowable((): unknown => JSON.parse(text), String)();
	if (value.isErr()) {
		return err(value.error);
	}

	const parsed = schema.safeParse(value.value);
	return parsed.success ? ok(parsed.data) : err(parsed.error.message);
};
