/**
Baseline retention policy: the engine's own least-recently-used eviction.
*/
import type {RetentionPolicy} from './retention-policy.js';

/** Keeps every prefix until the engine evicts it. */
export const keepEveryPrefix: RetentionPolicy = () => Infinity;
