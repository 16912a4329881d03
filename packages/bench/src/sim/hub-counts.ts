/**
Counters that the hub keeps during one run.
*/

export type HubCounts = {
	/** Calls submitted; a caller's repetition of a call counts again. */
	calls: number;
	/** Attempts that the hub repeated after a failure. */
	retries: number;
	/** Calls that a sidecar refused to queue. */
	refusals: number;
	/** Prefixes moved from one engine to another. */
	imports: number;
	/** Calls that were not placed because of the crashes they were present at. */
	quarantined: number;
};
