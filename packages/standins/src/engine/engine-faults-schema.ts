/**
Faults that tests switch on in an engine stand-in.
*/
import {z} from 'zod';

/** Body of `PUT /faults`; fields that are left out keep their value. */
export const engineFaultsSchema = z.strictObject({
	/** Time between two tokens of a run, in milliseconds. */
	tokenDelayMs: z.number().min(0).optional(),
	/** A prompt that contains this text crashes the engine halfway through the answer; an empty text disables the fault. */
	crashOn: z.string().optional(),
	/** Multiplies the time between tokens. */
	slowFactor: z.number().positive().optional(),
	/** Share of cache events that are never sent, from 0 to 1. */
	dropCacheEvents: z.number().min(0).max(1).optional(),
	/** Delay of cache events and maximum age of load reports, in milliseconds. */
	lagMs: z.number().min(0).optional(),
	/** Resets the connection of a run's first stream once this many bytes of its answer were sent; -1 disables the fault. */
	cutStreamAt: z.number().int().min(-1).optional(),
});
