/**
The signature of policies that order the queue of an upstream, baselines included.
*/
import type {QueueView} from './queue-view.js';
import type {QueuedCall} from './queued-call.js';

/** Returns the index of the call to run next at time `now` (in milliseconds), or -1 if none should start yet. */
export type QueuePolicy = (waiting: readonly QueuedCall[], queue: QueueView, now: number) => number;
