/**
Adds used slot time to a row's account for weighted sharing.
*/
import type {QueuedCall} from './queued-call.js';
import type {ServiceTimeByRow} from './service-time-by-row.js';

/** Returns the service per row after the call has used `servedMs` more of slot time. A negative amount corrects an earlier estimate. */
export const chargeRow = (rows: ServiceTimeByRow, call: Pick<QueuedCall, 'row' | 'weight'>, servedMs: number): ServiceTimeByRow =>
	new Map(rows).set(call.row, (rows.get(call.row) ?? 0) + (servedMs / call.weight));
