/**
Admits a row that had no waiting calls to weighted sharing of an upstream.
*/
import type {QueuedCall} from './queued-call.js';
import type {ServiceTimeByRow} from './service-time-by-row.js';

type HasRow = Pick<QueuedCall, 'row'>;

/** Returns the service per row after `call` joins the queue. A row without waiting calls is raised to the least served waiting row, so that idle time earns no credit. */
export const activateRow = (rows: ServiceTimeByRow, call: HasRow, waiting: readonly HasRow[]): ServiceTimeByRow => {
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
