/**
Schema of the part of a chat completions request that the engine stand-in reads.
*/
import {z} from 'zod';

/** Ignores unknown keys, as real engines do. */
export const completionRequestSchema = z.object({
	model: z.string(),
	messages: z.array(z.unknown()).min(1),
	max_tokens: z.number().int().positive().optional(),
	stream: z.literal(true),
	/** Queued requests start in descending order of priority. */
	priority: z.number().default(0),
});
