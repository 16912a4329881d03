/**
Baseline: the engine's own least-recently-used eviction.
*/
import type {RetentionDecision} from './retention-decision.js';

/** Releases nothing. */
export const keepPrefix: RetentionDecision = () => Infinity;
