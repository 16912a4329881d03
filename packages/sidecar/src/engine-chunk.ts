/**
Schema of one event in a chat-completions stream.
*/
import * as z from 'zod';

/** Covers only the fields that the sidecar reads. */
export const engineChunkSchema = z.object({
	choices: z.array(z.object({
		delta: z.object({content: z.string().optional()}).default({}),
		finish_reason: z.string().nullish(),
	})).default([]),
	usage: z.object({
		prompt_tokens: z.number(),
		completion_tokens: z.number(),
	}).nullish(),
});
