/**
Faults that a test switches on in a stand-in engine.
*/
import {z} from 'zod';

/** Body of `PUT /faults`; keys that are absent stay as they are. */
export const engineFaultsSchema = z.strictObject({
	tokenDelayMs: z.number().min(0).optional(),
	/** A prompt that contains this text crashes the engine in mid-answer; the empty text switches it off. */
	crashOn: z.string().optional(),
	/** Multiplies the time between tokens. */
	slowFactor: z.number().positive().optional(),
	/** Share of cache events that is never sent, from 0 to 1. */
	dropCacheEvents: z.number().min(0).max(1).optional(),
	/** Delay of cache events and age of load reports. */
	lagMs: z.number().min(0).optional(),
	/** Cuts the first stream of each run once this many bytes of its answer were sent; -1 switches it off. */
	cutStreamAt: z.number().int().min(-1).optional(),
});
