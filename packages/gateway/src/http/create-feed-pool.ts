/**
Creates what the connections of one port share: see `FeedPool`.
*/
import {createReadGate} from '../forward/create-read-gate.js';
import type {ByteBudget} from './create-byte-budget.js';
import type {FeedPool} from './feed-pool.js';

const MAX_AHEAD = 256;
const MAX_BLOCKED = 64;

/** `budget` bounds what has come of unfinished heads and was sent ahead, on all connections; `maxHeadBytes` is the largest head that the server's parser takes. */
export const createFeedPool = (budget: ByteBudget, maxHeadBytes: number): FeedPool => ({
	gate: createReadGate(), budget, aheadCount: 0, maxAhead: MAX_AHEAD, blocked: new Set(), maxBlocked: MAX_BLOCKED, maxHeadBytes, closed: {'no-room': 0, ahead: 0},
});
