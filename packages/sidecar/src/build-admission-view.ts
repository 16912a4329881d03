/**
Describes the queue of an upstream to the admission policy when a call arrives:
totals, and the part that belongs to the call's row.
*/
import type {AdmissionView} from '@siskinhub/core/decide/admission-view.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {Grant} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {Run} from './run.js';

type Queue = {
	readonly waiting: readonly Run[];
	readonly running: ReadonlySet<Run>;
	readonly slots: number;
	/** Recent mean time that a call occupies its slot, in milliseconds. */
	readonly callMs: number;
	/** Estimated slot time of a whole program, in milliseconds. */
	readonly programMs: number;
};

const DEFAULT_WEIGHT = 1;

/** Returns the row's weight as a share of the weights of all waiting rows, its own included. */
const computeRowShare = (grant: Grant, waiting: readonly Run[]): number => {
	const weights = new Map(waiting.map(run => [run.queued.row, run.queued.weight]));
	weights.set(grant.row as RowKey, grant.weight || DEFAULT_WEIGHT);
	let total = 0;
	for (const weight of weights.values()) {
		total += weight;
	}

	return (grant.weight || DEFAULT_WEIGHT) / total;
};

/** Builds the input of the admission policy for the call of `grant`. */
export const buildAdmissionView = (grant: Grant, {waiting, running, slots, callMs, programMs}: Queue): AdmissionView => {
	const rowWaiting = waiting.filter(run => run.queued.row === grant.row);
	const rowRunning = [...running].filter(run => run.queued.row === grant.row);
	return {
		startsProgram: grant.startsProgram,
		deadlineMs: grant.startWithinMs,
		slots,
		running: running.size,
		callMs,
		programMs,
		queued: waiting.length,
		rowQueued: rowWaiting.length,
		rowQueuedStarts: rowWaiting.filter(run => run.queued.startsProgram).length,
		rowInFlight: rowWaiting.length + rowRunning.length,
		rowShare: computeRowShare(grant, waiting),
	};
};
