/**
The type of every policy that orders the queue of an upstream, baselines included.
*/
import type {QueueView} from './queue-view.js';
import type {QueuedCall} from './queued-call.js';

/** Returns the index of the call to run next at time `now`, or -1 where none is to start yet. */
export type QueueOrder = (waiting: readonly QueuedCall[], queue: QueueView, now: number) => number;
