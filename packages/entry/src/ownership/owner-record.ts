/**
What an owner announces under its lease in the platform's service.
*/
import * as z from 'zod';

/** One key for each owner, not for each shard; it vanishes when the owner's lease lapses. */
export const ownerRecordSchema = z.object({
	host: z.string(),
	instance: z.string(),
	peerAddress: z.string(),
	shards: z.array(z.object({shard: z.number(), epoch: z.number()})),
});
