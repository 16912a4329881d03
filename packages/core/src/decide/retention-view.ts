/**
What the keeper of an engine's memory knows about a prefix at the end of a turn, and
again when the time that it was to be kept is over.
*/

/** A prefix whose program pauses for its tool. */
export type RetentionView = {
	readonly prefixTokens: number;
	/** Whether the program or one of its ancestors has ended. */
	readonly ended: boolean;
	/** Whether it was already kept for as long as an earlier decision said. */
	readonly expired: boolean;
	/** Whether its next call already waits, or its sub-agents run, so that its reuse is only a matter of time. */
	readonly reuseCertain: boolean;
	/** Median pause of programs of this kind, in milliseconds. */
	readonly medianPauseMs: number;
	/** Share of the engine's memory in use, from 0 to 1. */
	readonly memoryUsed: number;
	/** Rate at which the engine computes a missing prefix. */
	readonly prefillTokensPerMs: number;
	/** The row's limit on the pause, where it has one. */
	readonly toolTimeMs?: number;
};
