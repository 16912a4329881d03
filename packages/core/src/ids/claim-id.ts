/**
Identifies one claim, the permission to run a request.
*/
import type {Brand} from '../brand.js';

/** A random id; a request that is granted again after a refusal gets a new one. */
export type ClaimId = Brand<string, 'ClaimId'>;
