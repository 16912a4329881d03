/**
The signature of policies that keep or release prefixes, baselines included.
*/
import type {IdlePrefix} from './idle-prefix.js';

/** Returns how long to keep the unused prefix before the next decision, in milliseconds; 0 releases it now, `Infinity` leaves eviction to the engine. */
export type RetentionPolicy = (prefix: IdlePrefix) => number;
