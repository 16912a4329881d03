/**
What the keeper of an engine's memory knows about a prefix at the end of a turn.
*/

/** A prefix whose program pauses for its tool. */
export type RetentionView = {
	readonly prefixTokens: number;
	/** Whether the program or one of its ancestors has ended. */
	readonly ended: boolean;
	/** Median pause of programs of this kind, in milliseconds. */
	readonly medianPauseMs: number;
	/** Share of the engine's memory in use, from 0 to 1. */
	readonly memoryUsed: number;
	/** Rate at which the engine computes a missing prefix. */
	readonly prefillTokensPerMs: number;
	/** The row's limit on the pause, where it has one. */
	readonly toolTimeMs?: number;
};
