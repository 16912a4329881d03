/**
Schema of the body with which entries refuse a request.
*/
import * as z from 'zod';

const ConflictSchema = z.object({
	row: z.string(),
	cell: z.string().optional(),
	value: z.number().optional(),
	who: z.string().optional(),
	revision: z.number(),
});

/** `conflicts` is present only with the code `edit-conflict`. */
export const RefusalBodySchema = z.object({
	code: z.string(),
	message: z.string(),
	retryAfterMs: z.number().optional(),
	conflicts: z.array(ConflictSchema).optional(),
});
