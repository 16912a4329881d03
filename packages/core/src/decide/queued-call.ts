/**
A call that waits in the queue of an upstream.
*/
import type {RowKey} from '../table/row-key.js';

/** What the queue order knows about a waiting call. */
export type QueuedCall = {
	/** The row whose weight and priority apply, usually the workspace's. */
	readonly row: RowKey;
	readonly weight: number;
	readonly priority: number;
	/** Whether it opens an outermost program, which then takes memory until its end. */
	readonly startsProgram: boolean;
	/** Tokens that it needs beyond those of its prefix that the engine holds. */
	readonly missingTokens: number;
	/** Time at which it joined this queue, in milliseconds. */
	readonly queuedAt: number;
	/** Time after which it is refused instead of started, where its caller set one. */
	readonly startBy?: number;
	/** Time at which the outermost program started, in milliseconds. */
	readonly programStartedAt: number;
	/** Service that the whole program, sub-agents included, has had on any upstream, in slot milliseconds. */
	readonly attainedMs: number;
};
