/**
Decides how long a prefix stays in engine memory through a tool pause.

Pauses are heavy-tailed: the longer one lasts, the longer its rest is expected
to be, so the chance of a reuse per unit of memory and time falls with the
time already waited. A prefix is kept until that chance no longer pays for the
memory it takes from others; memory that nobody needs costs little, so the
time grows with the free share. When that time is over the prefix goes, unless
its reuse is certain by then.
*/
import type {RetentionDecision} from './retention-decision.js';

/** Pauses kept in medians when memory is full, and further ones when it is empty. */
const MEDIANS_KEPT_WHEN_FULL = 15;
const MEDIANS_KEPT_WHEN_EMPTY = 60;
/** Prefixes that the engine computes faster than this are not worth holding in full memory. */
const WORTHWHILE_PREFILL_MS = 20;
const NEARLY_FULL = 0.95;

/** The project's retention; a prefix of an ended program is released at once. */
export const decideRetention: RetentionDecision = prefix => {
	if (prefix.ended || (prefix.expired && !prefix.reuseCertain)) {
		return 0;
	}

	const prefillMs = prefix.prefixTokens / Math.max(prefix.prefillTokensPerMs, Number.EPSILON);
	if (!prefix.reuseCertain && prefix.memoryUsed >= NEARLY_FULL && prefillMs < WORTHWHILE_PREFILL_MS) {
		return 0;
	}

	const free = Math.max(0, 1 - prefix.memoryUsed);
	const medians = MEDIANS_KEPT_WHEN_FULL + ((MEDIANS_KEPT_WHEN_EMPTY - MEDIANS_KEPT_WHEN_FULL) * free * free);
	return Math.min(medians * prefix.medianPauseMs, prefix.toolTimeMs ?? Infinity);
};
