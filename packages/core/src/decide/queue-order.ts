/**
The type of every policy that orders the queue of an upstream, baselines included.
*/
import type {QueuedCall} from './queued-call.js';
import type {RowService} from './row-service.js';

/** Returns the index of the call to run next at time `now`, or -1 for an empty queue. */
export type QueueOrder = (waiting: readonly QueuedCall[], rows: RowService, now: number) => number;
