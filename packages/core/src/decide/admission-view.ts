/**
The input of admission policies: the state of an upstream's queue when a call arrives.
*/

/** An arriving call and the queue, with the figures of the call's own row. */
export type AdmissionView = {
	/** Whether the call is the first of an outermost program. Refusing a later call wastes the work already done for its program. */
	readonly startsProgram: boolean;
	/** Time left until the caller's deadline, in milliseconds. */
	readonly deadlineMs: number;
	/** Calls that the upstream runs concurrently. */
	readonly slots: number;
	readonly running: number;
	/** Recent mean time that a call occupies its slot, in milliseconds. */
	readonly callMs: number;
	/** Recent mean slot time of a whole program, in milliseconds, summed over its calls. */
	readonly programMs: number;
	/** Waiting calls of all rows. */
	readonly queued: number;
	/** Waiting calls of the call's row. */
	readonly rowQueued: number;
	/** Those of `rowQueued` that start a program. */
	readonly rowQueuedStarts: number;
	/** Running and waiting calls of the call's row. */
	readonly rowInFlight: number;
	/** The row's `concurrency` cell; absent if it is empty. */
	readonly rowConcurrency?: number;
	/** The row's weight divided by the weights of all rows with waiting calls, this row included; from 0 to 1. */
	readonly rowShare: number;
};
