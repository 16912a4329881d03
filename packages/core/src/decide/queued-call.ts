/**
One call in the queue of an upstream.
*/
import type {RowKey} from '../table/row-key.js';

/** What queue policies know about a waiting call. */
export type QueuedCall = {
	/** The row whose weight and priority apply, usually the workspace's. */
	readonly row: RowKey;
	readonly weight: number;
	readonly priority: number;
	/** Whether it is the first call of an outermost program, which then occupies memory until it ends. */
	readonly startsProgram: boolean;
	/** Tokens that it needs in memory beyond the part of its prefix that the engine already holds. */
	readonly missingTokens: number;
	/** Time at which it joined this queue, in milliseconds. */
	readonly queuedAt: number;
	/** Time after which it is refused instead of started, in milliseconds; absent if its caller set none. */
	readonly startBy?: number;
	/** Time at which its outermost program started, in milliseconds. */
	readonly programStartedAt: number;
	/** Slot time that its outermost program, including sub-agents, has used on all upstreams, in milliseconds. */
	readonly attainedMs: number;
};
