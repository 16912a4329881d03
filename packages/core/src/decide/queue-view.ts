/**
What the queue order knows of the upstream that the queue stands before.
*/
import type {RowService} from './row-service.js';

/** An upstream at the moment when a slot is free. */
export type QueueView = {
	readonly rows: RowService;
	/** Calls that it runs at the same time. */
	readonly slots: number;
	readonly running: number;
	/** Engine memory in tokens; 0 for plain services, whose calls take none. */
	readonly memoryTokens: number;
	/** Tokens that neither running calls nor kept prefixes take. */
	readonly freeTokens: number;
};
