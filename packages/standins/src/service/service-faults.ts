/**
Faults that a test switches on in a stand-in service.
*/
import {z} from 'zod';

/** Body of `PUT /faults`; keys that are absent stay as they are. */
export const serviceFaultsSchema = z.strictObject({
	/** Time between the effect and its answer. */
	delayMs: z.number().min(0).optional(),
	/** An input that contains this text crashes the service after its effect; the empty text switches it off. */
	crashOn: z.string().optional(),
	/** Cuts the connection instead of answering the next N requests, after their effect. */
	loseAnswers: z.number().int().min(0).optional(),
});
