/**
Schema of the response to an accepted edit.
*/
import * as z from 'zod';

/** The revision at which the edit was accepted. */
export const RevisionSchema = z.object({revision: z.number()});
