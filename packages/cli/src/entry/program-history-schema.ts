/**
Schema of a program's history in the response of an entry.
*/
import * as z from 'zod';

/** Leaves out the input and output of the turns. */
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
