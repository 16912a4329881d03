/**
The part of a chat-completions request that the stand-in engine reads.
*/
import {z} from 'zod';

/** Unknown keys are ignored, as engines do. */
export const completionRequestSchema = z.object({
	model: z.string(),
	messages: z.array(z.unknown()).min(1),
	max_tokens: z.number().int().positive().optional(),
	stream: z.literal(true),
	/** Higher goes first. */
	priority: z.number().default(0),
});
