/**
The body with which an entry refuses a request.
*/
import type * as z from 'zod';
import type {RefusalBodySchema} from './refusal-body-schema.js';

export type RefusalBody = Readonly<z.output<typeof RefusalBodySchema>>;
