/**
Identifies one call of a program; retries of the call repeat the id.
*/
import type {Brand} from '../brand.js';

/** An idempotency key chosen by the caller, unique within its workspace. */
export type RequestId = Brand<string, 'RequestId'>;
