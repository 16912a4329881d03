/**
Appends that wait for the next group commit.
*/
import type {createPendingAppend} from './create-pending-append.js';

type Pending<Item, Rejection> = ReturnType<typeof createPendingAppend<Item, Rejection>>;

type AppendQueue<Item, Rejection> = {
	readonly push: (append: Pending<Item, Rejection>) => void;
	/** Removes as many appends as one entry may hold, oldest first, without those whose deadline passed. */
	readonly takeBatch: () => ReadonlyArray<Pending<Item, Rejection>>;
	/** Removes all appends whose deadline has not passed. */
	readonly takeAll: () => ReadonlyArray<Pending<Item, Rejection>>;
	readonly isEmpty: () => boolean;
};

/** Creates an empty queue; a batch holds at most `maxBatchBytes`, and at least one append. */
export const createAppendQueue = <Item, Rejection>(maxBatchBytes: number): AppendQueue<Item, Rejection> => {
	let waiting: Array<Pending<Item, Rejection>> = [];

	return {
		push(append) {
			waiting.push(append);
		},
		takeBatch() {
			const live = waiting.filter(append => !append.isSettled());
			let bytes = 0;
			const cut = live.findIndex((append, position) => {
				bytes += append.bytes;
				return position > 0 && bytes > maxBatchBytes;
			});
			const size = cut === -1 ? live.length : cut;
			waiting = live.slice(size);
			return live.slice(0, size);
		},
		takeAll() {
			const live = waiting.filter(append => !append.isSettled());
			waiting = [];
			return live;
		},
		isEmpty: () => waiting.every(append => append.isSettled()),
	};
};
