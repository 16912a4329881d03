/**
Faults that tests switch on in the platform stand-in.
*/
import {z} from 'zod';

/** Body of `PUT /faults`; fields that are left out keep their value. */
export const platformFaultsSchema = z.strictObject({
	/** Closes the connection of every request without a response; open watches stay connected but receive no further events. */
	down: z.boolean().optional(),
	/** Accepts requests but neither executes nor responds to them; open watches receive no further events. */
	hang: z.boolean().optional(),
	/** Delay before a request is executed, in milliseconds; the request is executed even if the client has disconnected by then. */
	delayMs: z.number().int().min(0).optional(),
	/** Executes the next N transactions but closes their connection instead of responding. */
	loseAnswers: z.number().int().min(0).optional(),
});
