/**
Schema of a program and its progress in the response of an entry.
*/
import * as z from 'zod';

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
