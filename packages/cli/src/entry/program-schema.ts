/**
Schema of a program as entries answer it.
*/
import * as z from 'zod';

/** A program and how far it is. */
export const ProgramSchema = z.object({
	program: z.string(),
	workspace: z.string(),
	kind: z.string(),
	deployment: z.string(),
	parent: z.string().optional(),
	state: z.enum(['open', 'ended']),
	nextTurn: z.number(),
	spentTokens: z.number().optional(),
});
