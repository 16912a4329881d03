/**
Accounts service to a row.
*/
import type {QueuedCall} from './queued-call.js';
import type {RowService} from './row-service.js';

/** Returns the rows' service after `servedMs` more of slot time for the call; a negative amount corrects an earlier estimate. */
export const chargeRow = (rows: RowService, call: Pick<QueuedCall, 'row' | 'weight'>, servedMs: number): RowService =>
	new Map(rows).set(call.row, (rows.get(call.row) ?? 0) + (servedMs / call.weight));
