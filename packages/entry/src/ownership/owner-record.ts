/**
What an entry announces under its lease in the platform's service.
*/
import * as z from 'zod';

/** Stored in one key for each entry, not for each shard; the key is deleted when the entry's lease expires. */
export const ownerRecordSchema = z.object({
	host: z.string(),
	instance: z.string(),
	peerAddress: z.string(),
	shards: z.array(z.object({shard: z.number(), epoch: z.number()})),
});
