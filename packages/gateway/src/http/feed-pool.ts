/**
What the connections of callers of one process share: the account of what waits to be
parsed, and processor time.
*/
import type {createReadGate} from '../forward/create-read-gate.js';
import type {ByteBudget} from './create-byte-budget.js';

export type FeedPool = {
	readonly gate: Pick<ReturnType<typeof createReadGate>, 'wait' | 'leave'>;
	readonly budget: ByteBudget;
	/** Requests that were parsed while an answer before them on their connection was under way. */
	aheadCount: number;
	readonly maxAhead: number;
	/** Connections on which more was sent ahead than is parsed, the first one first; each function closes its connection. What the kernel holds for them counts as the process's memory. */
	readonly blocked: Set<() => void>;
	readonly maxBlocked: number;
	/** Counts the connections that were closed, by reason. */
	readonly closed: {'no-room': number; ahead: number};
	/** A head of this size is passed to the parser, which refuses it. */
	readonly maxHeadBytes: number;
};
