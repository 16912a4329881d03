/**
Identifies a caller's key without holding it.
*/
import type {Brand} from '@siskinhub/core/brand.js';

/** SHA-256 of a key, in hexadecimal. */
export type KeyHash = Brand<string, 'KeyHash'>;
