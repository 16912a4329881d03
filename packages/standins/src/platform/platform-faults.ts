/**
Faults that tests switch on in the platform stand-in.
*/
import {z} from 'zod';

/** Body of `PUT /faults`; fields that are left out keep their value. */
export const platformFaults = z.strictObject({
	/** Cuts every connection that carries a request; open watches go silent for good. */
	down: z.boolean().optional(),
	/** Takes requests and never answers them, nor carries them out. */
	hang: z.boolean().optional(),
	/** Waits before it carries a request out, also when the client has given up meanwhile. */
	delayMs: z.number().int().min(0).optional(),
	/** Cuts the connection of the next N writes after they took effect. */
	loseAnswers: z.number().int().min(0).optional(),
});
