/**
Names one call of a program; retries of the call repeat it.
*/
import type {Brand} from '../brand.js';

/** A caller-chosen id, unique within its workspace, that makes a retry recognisable. */
export type RequestId = Brand<string, 'RequestId'>;
