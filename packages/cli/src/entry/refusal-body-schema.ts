/**
Schema of the body of a refusal.
*/
import * as z from 'zod';

const ConflictSchema = z.object({
	row: z.string(),
	cell: z.string().optional(),
	value: z.number().optional(),
	who: z.string().optional(),
	revision: z.number(),
});

/** A refusal as entries send it; `conflicts` comes with `edit-conflict`. */
export const RefusalBodySchema = z.object({
	code: z.string(),
	message: z.string(),
	retryAfterMs: z.number().optional(),
	conflicts: z.array(ConflictSchema).optional(),
});
