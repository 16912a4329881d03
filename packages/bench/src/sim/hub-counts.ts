/**
Counters of one run of the hub.
*/

/** Attempts by kind. */
export type HubCounts = {
	calls: number;
	retries: number;
	refusals: number;
	imports: number;
	quarantined: number;
};
