/**
Schema of a holder as the platform's service stores it.
*/
import * as z from 'zod';

export const HolderSchema = z.object({
	diskId: z.string().min(1), host: z.string(), address: z.string(), dataCentre: z.string(),
});
