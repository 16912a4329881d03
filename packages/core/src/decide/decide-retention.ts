/**
Decides how long a prefix stays in engine memory while its program waits for a
tool.

Tool pauses are heavy-tailed: the longer a pause has lasted, the longer it is
expected to go on, so the chance of reuse per unit of memory and time falls as
the pause lasts. A prefix is kept until that chance no longer justifies the
memory that it takes from others. Unused memory costs little, so the time grows
with the free share. After that time the prefix is released, unless its reuse is
certain by then.
*/
import type {RetentionPolicy} from './retention-policy.js';

/** How long a prefix is kept, in median pauses, when memory is full and when it is empty. */
const MEDIAN_PAUSES_WHEN_FULL = 15;
const MEDIAN_PAUSES_WHEN_EMPTY = 60;
/** Prefixes that the engine computes faster than this are not worth keeping when memory is nearly full. */
const MIN_WORTHWHILE_PREFILL_MS = 20;
const NEARLY_FULL_SHARE = 0.95;

/** The retention policy used in production. A prefix of an ended program is released at once. */
export const decideRetention: RetentionPolicy = prefix => {
	if (prefix.ended || (prefix.isExpired && !prefix.isReuseCertain)) {
		return 0;
	}

	const prefillMs = prefix.prefixTokens / Math.max(prefix.prefillTokensPerMs, Number.EPSILON);
	if (!prefix.isReuseCertain && prefix.memoryUsed >= NEARLY_FULL_SHARE && prefillMs < MIN_WORTHWHILE_PREFILL_MS) {
		return 0;
	}

	const free = Math.max(0, 1 - prefix.memoryUsed);
	const medians = MEDIAN_PAUSES_WHEN_FULL + ((MEDIAN_PAUSES_WHEN_EMPTY - MEDIAN_PAUSES_WHEN_FULL) * free * free);
	return Math.min(medians * prefix.medianPauseMs, prefix.toolTimeMs ?? Infinity);
};
