/**
Faults that tests switch on in a service stand-in.
*/
import {z} from 'zod';

/** Body of `PUT /faults`; fields that are left out keep their value. */
export const serviceFaultsSchema = z.strictObject({
	/** Time between the effect and the response, in milliseconds. */
	delayMs: z.number().min(0).optional(),
	/** An input that contains this text crashes the service after its effect; an empty text disables the fault. */
	crashOn: z.string().optional(),
	/** Closes the connection of the next N requests after their effect instead of responding. */
	loseAnswers: z.number().int().min(0).optional(),
});
