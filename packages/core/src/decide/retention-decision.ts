/**
The type of every policy that keeps or releases prefixes, baselines included.
*/
import type {RetentionView} from './retention-view.js';

/** Returns how long to keep the prefix without a use before this is decided again, in milliseconds; 0 releases it now, `Infinity` leaves it to the engine. */
export type RetentionDecision = (prefix: RetentionView) => number;
