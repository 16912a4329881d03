/**
The type of the function that orders an upstream's queue.
*/
import type {QueuedCall} from './queued-call.js';

/** Returns the call to start next out of a queue that is not empty, at time `now` in milliseconds. */
export type QueueOrder = (queue: readonly QueuedCall[], now: number) => QueuedCall;
