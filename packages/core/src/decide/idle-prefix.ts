/**
The input of retention policies. They are asked at the end of a turn, and again
when the time that they returned is over.
*/

/** A prefix in engine memory whose program waits for a tool, and the state of that memory. */
export type IdlePrefix = {
	readonly prefixTokens: number;
	/** Whether the program or one of its ancestors has ended. */
	readonly ended: boolean;
	/** Whether the time returned by an earlier decision is over. */
	readonly isExpired: boolean;
	/** Whether the program's next call is already waiting, or its sub-agents are running, so that the prefix will be used again. */
	readonly isReuseCertain: boolean;
	/** Median tool pause of programs of this kind, in milliseconds. */
	readonly medianPauseMs: number;
	/** Share of the engine's memory in use, from 0 to 1. */
	readonly memoryUsed: number;
	/** Rate at which the engine computes a missing prefix, in tokens per millisecond. */
	readonly prefillTokensPerMs: number;
	/** Limit on the pause from the `tool-time` cell, in milliseconds; absent if there is none. */
	readonly toolTimeMs?: number;
};
