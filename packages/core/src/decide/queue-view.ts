/**
The input of queue policies besides the waiting calls: the state of the upstream.
*/
import type {ServiceTimeByRow} from './service-time-by-row.js';

/** An upstream that has a free slot. */
export type QueueView = {
	readonly rows: ServiceTimeByRow;
	/** Calls that it runs concurrently. */
	readonly slots: number;
	readonly running: number;
	/** Engine memory in tokens; 0 for plain services, whose calls take none. */
	readonly memoryTokens: number;
	/** Tokens that neither running calls nor kept prefixes use. */
	readonly freeTokens: number;
};
