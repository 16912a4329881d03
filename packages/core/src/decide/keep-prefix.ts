/**
Baseline retention policy: the engine's own least-recently-used eviction.
*/
import type {RetentionDecision} from './retention-decision.js';

/** Keeps every prefix until the engine evicts it. */
export const keepPrefix: RetentionDecision = () => Infinity;
