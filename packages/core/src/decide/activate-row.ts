/**
Brings a row back into the sharing of an upstream.
*/
import type {QueuedCall} from './queued-call.js';
import type {RowService} from './row-service.js';

type HasRow = Pick<QueuedCall, 'row'>;

/** Returns the rows' service when `call` joins the queue: a row that had nothing waiting starts no lower than the least of the waiting rows, so that idling saves up no credit. */
export const activateRow = (rows: RowService, call: HasRow, waiting: readonly HasRow[]): RowService => {
	let least = Infinity;
	for (const {row} of waiting) {
		if (row === call.row) {
			return rows;
		}

		least = Math.min(least, rows.get(row) ?? 0);
	}

	const own = rows.get(call.row) ?? 0;
	return Number.isFinite(least) && own < least ? new Map(rows).set(call.row, least) : rows;
};
