/**
The simplest order of a queue.
*/
import type {QueueOrder} from './queue-order.js';

/** First come, first served. */
export const orderByArrival: QueueOrder = queue => queue.reduce((first, call) => call.arrivedAt < first.arrivedAt ? call : first);
