/**
Queues appends for the next group commit and splits them into batches that fit
into one log entry. Appends that are settled already, for example because they
timed out, are dropped.
*/
import type {createPendingAppend} from './create-pending-append.js';

type PendingAppend<Item, Rejection> = ReturnType<typeof createPendingAppend<Item, Rejection>>;

type AppendQueue<Item, Rejection> = {
	readonly push: (append: PendingAppend<Item, Rejection>) => void;
	/** Removes and returns the oldest unsettled appends, as many as one entry may hold. */
	readonly takeBatch: () => ReadonlyArray<PendingAppend<Item, Rejection>>;
	/** Empties the queue and returns the unsettled appends. */
	readonly takeAll: () => ReadonlyArray<PendingAppend<Item, Rejection>>;
	/** Whether no unsettled append is queued. */
	readonly isEmpty: () => boolean;
};

/** Creates an empty queue. A batch has at most `maxBatchBytes` of items, but always at least one append. */
export const createAppendQueue = <Item, Rejection>(maxBatchBytes: number): AppendQueue<Item, Rejection> => {
	let waiting: Array<PendingAppend<Item, Rejection>> = [];

	return {
		push(append) {
			waiting.push(append);
		},
		takeBatch() {
			const live = waiting.filter(append => !append.isSettled());
			let bytes = 0;
			const overflowPosition = live.findIndex((append, position) => {
				bytes += append.bytes;
				return position > 0 && bytes > maxBatchBytes;
			});
			const batchLength = overflowPosition === -1 ? live.length : overflowPosition;
			waiting = live.slice(batchLength);
			return live.slice(0, batchLength);
		},
		takeAll() {
			const live = waiting.filter(append => !append.isSettled());
			waiting = [];
			return live;
		},
		isEmpty: () => waiting.every(append => append.isSettled()),
	};
};
