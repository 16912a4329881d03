/**
The body of a refusal.
*/
import type * as z from 'zod';
import type {RefusalBodySchema} from './refusal-body-schema.js';

/** A refusal as entries send it. */
export type RefusalBody = Readonly<z.output<typeof RefusalBodySchema>>;
