/**
Schema of a program's history as entries answer it.
*/
import * as z from 'zod';

/** The turns of a program, without what was said in them. */
export const ProgramHistorySchema = z.object({
	program: z.string(),
	digest: z.string(),
	turns: z.array(z.object({
		turn: z.number(),
		requestId: z.string(),
		promptTokens: z.number(),
		outputTokens: z.number(),
	})),
});
