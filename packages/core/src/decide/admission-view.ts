/**
What the queue of an upstream knows when a call asks to join it.
*/

/** The queue as the call's row sees it. */
export type AdmissionView = {
	/** Whether the call opens an outermost program; a later call has work behind it that a refusal would waste. */
	readonly startsProgram: boolean;
	/** Time left until the caller's deadline, in milliseconds. */
	readonly deadlineMs: number;
	readonly slots: number;
	readonly running: number;
	/** Recent mean time of a call in its slot, in milliseconds. */
	readonly callMs: number;
	/** Recent mean slot time of a whole program, in milliseconds. */
	readonly programMs: number;
	/** Calls of any row that wait. */
	readonly queued: number;
	/** Calls of the call's row that wait, and those of them that start a program. */
	readonly rowQueued: number;
	readonly rowQueuedStarts: number;
	/** Calls of the call's row that run or wait, and the row's `concurrency` cell, where it has one. */
	readonly rowOpen: number;
	readonly rowConcurrency?: number;
	/** The row's weight over the weights of all rows that wait, itself included; from 0 to 1. */
	readonly rowShare: number;
};
